package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/clientconn"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/relief"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// descriptorsEach is how many descriptors a client takes: its connection, and one to the
	// server of its request.
	descriptorsEach = 2
	// heardLately is how long ago the directory must have been heard at most for its routers
	// to be taken for ready: watches are answered once a second.
	heardLately = 2500 * time.Millisecond
	// placeInterval is how often a router that is short looks up its place in its zone.
	placeInterval = time.Second
)

// reliever measures what a router lacks and sends clients elsewhere, as package relief says.
type reliever struct {
	router      *Router
	on          bool
	name, zone  string
	descriptors int
	judge       relief.Judge
	// inProgress counts the requests, and closed those whose clients were asked to come anew.
	inProgress, closed atomic.Int64
	closing, unready   atomic.Bool
	lack               relief.Lack
	usage              clientconn.Usage
	// place is the router's place in its zone, as it was looked up last.
	place    relief.Zone
	placedAt time.Time
}

func newReliever(router *Router, settings *rockwindpb.SiteSettings) *reliever {
	return &reliever{
		router: router, on: router.gates.On(gate.Relief),
		name: settings.GetName(), zone: settings.GetZone(), descriptors: int(settings.GetMaxDescriptors()),
	}
}

// run measures and decides until the context ends.
func (r *reliever) run(ctx context.Context) {
	if !r.on {
		return
	}
	due := time.Now()
	for {
		due = due.Add(relief.Interval)
		timer := time.NewTimer(time.Until(due))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		now := time.Now()
		r.take(r.sample(now.Sub(due)), now)
		due = now
	}
}

// sample measures the router, whose timer was so late.
func (r *reliever) sample(late time.Duration) relief.Sample {
	before := r.usage
	r.usage = r.router.buffers.Usage()
	sample := relief.Sample{
		Late: late, MemoryPart: r.usage.Part(), InProgress: int(r.inProgress.Load()), Behind: r.usage.Readers,
	}
	if r.descriptors > 0 {
		sample.DescriptorPart = float64(descriptorsEach*r.usage.Open) / float64(r.descriptors)
	}
	if taken := r.usage.Taken - before.Taken; taken > 0 {
		sample.Unsent = time.Duration(float64(relief.Interval+late) * float64(r.usage.Unread) / float64(taken))
	}
	return sample
}

// take acts on a sample.
func (r *reliever) take(sample relief.Sample, now time.Time) {
	if r.closing.Load() && now.Sub(r.placedAt) >= placeInterval {
		r.place, r.placedAt = r.lookUp(), now
	}
	advice := r.judge.Take(sample, r.place, now)
	r.closing.Store(advice.Close)
	unready := r.unready.Swap(advice.Unready)
	if advice.Lack == r.lack && advice.Unready == unready {
		return
	}
	r.lack = advice.Lack
	decision.Default.Record(decision.ReliefChanged, r.name, log.Fields{
		"lack": string(advice.Lack), "ready": !advice.Unready, "late_ms": sample.Late.Milliseconds(),
		"memory_part": sample.MemoryPart, "descriptor_part": sample.DescriptorPart, "unsent_ms": sample.Unsent.Milliseconds(),
		"in_progress": sample.InProgress, "behind": sample.Behind, "closed": r.closed.Load(),
	})
}

// lookUp finds this router's place among those of its zone, in the order of their names. It
// has none where it has not heard lately who they are.
func (r *reliever) lookUp() relief.Zone {
	if time.Since(r.router.watcher.LastHeard()) > heardLately {
		return relief.Zone{}
	}
	var names []string
	for _, machine := range r.router.watcher.Directory().WithRole(rockwindpb.SiteRole_SITE_ROLE_ROUTER) {
		if machine.GetZone() == r.zone {
			names = append(names, machine.GetName())
		}
	}
	slices.Sort(names)
	position := slices.Index(names, r.name)
	if position < 0 {
		return relief.Zone{}
	}
	return relief.Zone{Position: position, Routers: len(names)}
}

// handler counts requests, and asks some clients to come anew while the router is short.
func (r *reliever) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		r.inProgress.Add(1)
		defer r.inProgress.Add(-1)
		if r.closing.Load() && rand.IntN(relief.CloseOneIn) == 0 {
			r.closed.Add(1)
			writer.Header().Set("Connection", "close")
		}
		next.ServeHTTP(writer, request)
	})
}

// state is what metrics show.
func (r *reliever) state() (closing, unready bool, closed int64) {
	return r.closing.Load(), r.unready.Load(), r.closed.Load()
}
