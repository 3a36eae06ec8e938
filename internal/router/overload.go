package router

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sys/unix"

	"rockwind.example/rockwind/internal/clientconn"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/overload"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// maxDirectoryAge is how old the directory may be for its routers to be considered ready and in contact with the
	// coordinators: watches are answered once a second.
	maxDirectoryAge = 2500 * time.Millisecond
	// positionInterval is how often an overloaded router looks up its position in its zone.
	positionInterval = time.Second
	// turnedAwayInterval is the shortest time between two records of connections that were closed unread.
	turnedAwayInterval = time.Second
)

// overloadController monitors the load of a router and sends clients to other routers when it is
// overloaded: see package overload.
type overloadController struct {
	router      *Router
	enabled     bool
	name, zone  string
	descriptors int
	judge       overload.Detector
	// inProgress counts running requests, and closed the requests whose clients were told to
	// close their connections.
	inProgress, closed atomic.Int64
	closing, unready   atomic.Bool
	lack               overload.Shortage
	usage              clientconn.Usage
	// position is the router's position in its zone, looked up at positionedAt.
	position     overload.ZonePosition
	positionedAt time.Time

	// gateMutex guards gate.
	gateMutex sync.Mutex
	gate      overload.ConnectionGate
	// turnedAway is the number of connections that were closed unread when that was last recorded.
	turnedAway int64
	recordedAt time.Time
}

func newOverloadController(router *Router, settings *rockwindpb.SiteSettings) *overloadController {
	created := &overloadController{
		router: router, enabled: router.gates.On(featuregate.OverloadRelief),
		name: settings.GetName(), zone: settings.GetZone(), descriptors: int(settings.GetMaxDescriptors()),
		gate: overload.NewConnectionGate(connectionLimits(settings)),
	}
	if created.enabled {
		router.buffers.SetAdmission(created.admit)
	}
	return created
}

// connectionLimits returns what the connections of clients may use: the bounds of the settings, and the
// descriptors that the process has.
func connectionLimits(settings *rockwindpb.SiteSettings) overload.ConnectionLimits {
	limits := overload.ConnectionLimits{Descriptors: int(settings.GetMaxDescriptors()), MemoryBytes: int64(settings.GetMemoryMb()) * megabyte}
	var available unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &available); err != nil {
		log.WithError(err).Warn("could not read the limit of file descriptors; connections are bounded by the settings only")
		return limits
	}
	if limits.Descriptors == 0 || uint64(limits.Descriptors) > available.Cur {
		limits.Descriptors = int(min(available.Cur, math.MaxInt32))
	}
	return limits
}

// admit reports whether a new connection of a client is taken while the given number is open.
func (r *overloadController) admit(open int) bool {
	r.gateMutex.Lock()
	defer r.gateMutex.Unlock()
	return r.gate.Admit(open, rand.Float64())
}

// observeGate updates the gate with the delay of a timer, and records once a second how many connections
// were closed unread.
func (r *overloadController) observeGate(delay time.Duration, now time.Time) {
	r.gateMutex.Lock()
	r.gate.Observe(delay)
	fraction := r.gate.TurnedAway()
	r.gateMutex.Unlock()
	turnedAway := r.router.buffers.TurnedAway()
	if turnedAway == r.turnedAway || now.Sub(r.recordedAt) < turnedAwayInterval {
		return
	}
	decision.Default.Record(decision.ConnectionsTurnedAway, r.name, log.Fields{
		"connections": turnedAway - r.turnedAway, "open": r.usage.Open, "fraction": fraction, "late_ms": delay.Milliseconds(),
	})
	r.turnedAway, r.recordedAt = turnedAway, now
}

// run takes and applies samples until the context ends.
func (r *overloadController) run(ctx context.Context) {
	if !r.enabled {
		return
	}
	due := time.Now()
	for {
		// A quota of the processor is granted at a fixed period. Samples at another fixed one could all fall into
		// the time in which the process runs.
		interval := overload.Interval/2 + rand.N(overload.Interval)
		due = due.Add(interval)
		timer := time.NewTimer(time.Until(due))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		now := time.Now()
		r.observeGate(now.Sub(due), now)
		r.apply(r.sample(interval, now.Sub(due)), now)
		due = now
	}
}

// sample measures the load of the router since the last sample. The delay is that of its timer.
func (r *overloadController) sample(interval, delay time.Duration) overload.Sample {
	before := r.usage
	r.usage = r.router.buffers.Usage()
	sample := overload.Sample{
		TimerDelay: delay, MemoryFraction: r.usage.Fraction(), InProgress: int(r.inProgress.Load()), Behind: r.usage.Readers,
	}
	if r.descriptors > 0 {
		sample.DescriptorFraction = float64(overload.DescriptorsPerClient*r.usage.Open) / float64(r.descriptors)
	}
	if taken := r.usage.Taken - before.Taken; taken > 0 {
		sample.SendTime = time.Duration(float64(interval+delay) * float64(r.usage.Unread) / float64(taken))
	}
	return sample
}

// apply acts on a sample.
func (r *overloadController) apply(sample overload.Sample, now time.Time) {
	if r.closing.Load() && now.Sub(r.positionedAt) >= positionInterval {
		r.position, r.positionedAt = r.zonePosition(), now
	}
	advice := r.judge.Observe(sample, r.position, now)
	r.closing.Store(advice.Close)
	unready := r.unready.Swap(advice.Unready)
	if advice.Shortage == r.lack && advice.Unready == unready {
		return
	}
	r.lack = advice.Shortage
	decision.Default.Record(decision.OverloadReliefChanged, r.name, log.Fields{
		"lack": string(advice.Shortage), "ready": !advice.Unready, "late_ms": sample.TimerDelay.Milliseconds(),
		"memory_part": sample.MemoryFraction, "descriptor_part": sample.DescriptorFraction, "unsent_ms": sample.SendTime.Milliseconds(),
		"in_progress": sample.InProgress, "behind": sample.Behind, "closed": r.closed.Load(),
	})
}

// zonePosition returns this router's position among the routers of its zone, ordered by name, or
// a zero Zone if the directory is out of date.
func (r *overloadController) zonePosition() overload.ZonePosition {
	if time.Since(r.router.watcher.LastContact()) > maxDirectoryAge {
		return overload.ZonePosition{}
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
		return overload.ZonePosition{}
	}
	return overload.ZonePosition{Position: position, Routers: len(names)}
}

// handler counts requests and, while the router is overloaded, tells some clients to close their
// connections.
func (r *overloadController) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		r.inProgress.Add(1)
		defer r.inProgress.Add(-1)
		if r.closing.Load() && rand.IntN(overload.CloseOneIn) == 0 {
			r.closed.Add(1)
			writer.Header().Set("Connection", "close")
		}
		next.ServeHTTP(writer, request)
	})
}

// state returns the state for metrics.
func (r *overloadController) state() (closing, unready bool, closed int64) {
	return r.closing.Load(), r.unready.Load(), r.closed.Load()
}
