package site

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/twirphttp"
)

const (
	// reportLinger is how long observations are gathered before they are told: all requests
	// of a server fail together when it ends.
	reportLinger = 5 * time.Millisecond
	// reportRetry is the pause after no coordinator took a report, and reportFor how old an
	// observation may become: longer than the coordinators need to elect a leader.
	reportRetry = 100 * time.Millisecond
	reportFor   = 10 * time.Second
	// reportQueue bounds the observations that wait, and reportMost those of one call. After
	// the loss of many servers at once the rest goes without: each of them tells of requests
	// that have ended no other server.
	reportQueue = 512
	reportMost  = 64
)

// QuarantineReporter tells the coordinators under which requests servers ended, and which suspected ones
// were answered since. Run sends; the other methods may be called by any goroutine and never
// block.
type QuarantineReporter struct {
	watcher *Watcher
	queue   chan observation

	mutex sync.Mutex
	// untold is what waits to be told.
	untold *quarantine.Unreported
}

// observation is an end of a server, or an answer where the end is nil.
type observation struct {
	end      *rockwindpb.ServerEnd
	began    time.Time
	answered fingerprint.Fingerprint
	noticed  time.Time
}

// NewQuarantineReporter returns a reporter to the coordinators that the watcher knows.
func NewQuarantineReporter(watcher *Watcher) *QuarantineReporter {
	return &QuarantineReporter{watcher: watcher, queue: make(chan observation, reportQueue), untold: quarantine.NewUnreported()}
}

// HeldFor is for how much longer a content is held by what was not told yet.
func (r *QuarantineReporter) HeldFor(content func() fingerprint.Fingerprint, now time.Time) time.Duration {
	r.mutex.Lock()
	empty := r.untold.Empty()
	r.mutex.Unlock()
	if empty {
		return 0
	}
	computed := content()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.untold.HeldFor(computed, now)
}

// Suspected tells whether several servers ended under a content by what was not told yet.
func (r *QuarantineReporter) Suspected(content fingerprint.Fingerprint) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.untold.Suspected(content)
}

// ReportCrash tells that a server ended under a request that was sent there at the given time. How
// long ago that was is filled in when it is told.
func (r *QuarantineReporter) ReportCrash(end *rockwindpb.ServerEnd, began time.Time) {
	r.add(observation{end: end, began: began, noticed: time.Now()})
}

// ReportAnswer tells that a server answered a suspected request.
func (r *QuarantineReporter) ReportAnswer(content fingerprint.Fingerprint) {
	r.add(observation{answered: content, noticed: time.Now()})
}

func (r *QuarantineReporter) add(seen observation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// Before it is sent: how long ago a run began is filled in then.
	if seen.end == nil {
		r.untold.RecordAnswer(seen.answered, seen.noticed)
	} else {
		r.untold.RecordCrash(seen.end, seen.noticed.Sub(seen.began), seen.noticed)
	}
	select {
	case r.queue <- seen:
	default:
		r.untold.MarkReported(1)
		log.WithField("waiting", reportQueue).Warn("an end of a server is not told: too many wait")
	}
}

// done notes that observations were told, or are given up.
func (r *QuarantineReporter) done(count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.untold.MarkReported(count)
}

// Run sends what was observed until the context ends.
func (r *QuarantineReporter) Run(ctx context.Context) {
	for {
		select {
		case first := <-r.queue:
			retry.Pause(ctx, reportLinger)
			r.send(ctx, r.gather(first))
		case <-ctx.Done():
			return
		}
	}
}

// gather takes what else waits, up to the size of a call.
func (r *QuarantineReporter) gather(first observation) []observation {
	gathered := []observation{first}
	for len(gathered) < reportMost {
		select {
		case next := <-r.queue:
			gathered = append(gathered, next)
		default:
			return gathered
		}
	}
	return gathered
}

// send tells the coordinators, until one has taken the report or it is too old.
func (r *QuarantineReporter) send(ctx context.Context, seen []observation) {
	defer r.done(len(seen))
	for {
		err := r.watcher.atCoordinator(ctx, func(calling context.Context, address string) error {
			service := rockwindpb.NewQuarantineServiceProtobufClient("http://"+address, twirphttp.Client{HTTPClient: r.watcher.client})
			_, err := service.Report(calling, reportOf(seen, time.Now()))
			return err
		})
		if err == nil {
			return
		}
		if time.Since(seen[0].noticed) > reportFor || !retry.Pause(ctx, reportRetry) {
			log.WithError(err).WithField("observations", len(seen)).Warn("no coordinator was told under which requests servers ended")
			return
		}
	}
}

// reportOf is the call for observations at a moment.
func reportOf(seen []observation, now time.Time) *rockwindpb.ReportQuarantineRequest {
	report := &rockwindpb.ReportQuarantineRequest{}
	for _, each := range seen {
		if each.end == nil {
			report.Answered = append(report.Answered, each.answered.Bytes())
			continue
		}
		each.end.BeganMsAgo = uint64(max(0, now.Sub(each.began).Milliseconds()))
		report.Ends = append(report.Ends, each.end)
	}
	return report
}
