package site

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/twirphttp"
)

const (
	// batchDelay is how long observations are collected before they are sent, because all requests
	// of a server fail together when it ends.
	batchDelay = 5 * time.Millisecond
	// reportRetryPause is the pause after no coordinator accepted a report, and lateReportRetryPause
	// that after promptRetryTime, which is longer than the coordinators need to elect a leader.
	reportRetryPause     = 100 * time.Millisecond
	lateReportRetryPause = time.Second
	promptRetryTime      = 10 * time.Second
	// reportQueueSize bounds the observations in the queue, and maxBatchSize those of one call.
	// After the loss of many servers at once the rest is dropped; the requests of such servers
	// have ended no other server.
	reportQueueSize = 512
	maxBatchSize    = 64
)

// QuarantineReporter reports to the coordinators which requests were running when servers ended,
// and which suspected requests were answered since. Run sends the reports; the other methods may
// be called by any goroutine and never block.
type QuarantineReporter struct {
	watcher *Watcher
	queue   chan observation

	mutex sync.Mutex
	// unreported holds the observations that no coordinator has accepted yet, which are pending in the
	// order of the queue. The first one has the number pendingFrom.
	unreported  *quarantine.Unreported
	pending     []observation
	pendingFrom uint64

	// observed is signaled at each observation.
	observed chan struct{}
	shared   sharedObservations
	// sharesParts is set once this process has handled a prompt with parts.
	sharesParts atomic.Bool
}

// observation is the end of a server, the answers to suspected parts of prompts, or the answer to a
// suspected request if neither is set.
type observation struct {
	end       *rockwindpb.ServerEnd
	startedAt time.Time
	// partAnsweredAt holds for each part of end when the newest answered request with it was sent.
	partAnsweredAt []time.Time
	answeredParts  []quarantine.PartAnswer
	answered       fingerprint.Fingerprint
	observedAt     time.Time
}

// NewQuarantineReporter returns a reporter to the coordinators that the watcher knows.
func NewQuarantineReporter(watcher *Watcher) *QuarantineReporter {
	return &QuarantineReporter{watcher: watcher, queue: make(chan observation, reportQueueSize), unreported: quarantine.NewUnreported(), observed: make(chan struct{}, 1)}
}

// QuarantinedFor returns for how much longer a content is quarantined by unreported observations.
func (r *QuarantineReporter) QuarantinedFor(content func() fingerprint.Fingerprint, now time.Time) time.Duration {
	r.mutex.Lock()
	empty := r.unreported.Empty()
	r.mutex.Unlock()
	if empty {
		return 0
	}
	computed := content()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.unreported.QuarantinedFor(computed, now)
}

// Suspected reports whether several servers ended under a content according to unreported
// observations.
func (r *QuarantineReporter) Suspected(content fingerprint.Fingerprint) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.unreported.Suspected(content)
}

// ReportCrash reports that a server ended while it ran a request that was sent at the given time.
// partAnsweredAt holds for each part of the prompt when the newest answered request with it was sent,
// zero if none is known. The ages are set when the report is sent.
func (r *QuarantineReporter) ReportCrash(end *rockwindpb.ServerEnd, startedAt time.Time, partAnsweredAt []time.Time) {
	r.add(observation{end: end, startedAt: startedAt, partAnsweredAt: partAnsweredAt, observedAt: time.Now()})
}

// ReportPartAnswers reports that servers answered requests with suspected parts.
func (r *QuarantineReporter) ReportPartAnswers(answers []quarantine.PartAnswer) {
	r.add(observation{answeredParts: answers, observedAt: time.Now()})
}

// Unreported returns what the observations that no coordinator has accepted hold.
func (r *QuarantineReporter) Unreported() *quarantine.List {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.unreported.List(time.Now())
}

// ClaimTrial asks the coordinators to let one request with the given held parts through.
func (r *QuarantineReporter) ClaimTrial(ctx context.Context, parts []fingerprint.Fingerprint, claim string) (granted bool, err error) {
	err = r.watcher.callCoordinators(ctx, func(callCtx context.Context, address string) error {
		service := rockwindpb.NewQuarantineServiceProtobufClient("http://"+address, twirphttp.Client{HTTPClient: r.watcher.client})
		response, err := service.ClaimTrial(callCtx, &rockwindpb.ClaimTrialRequest{Parts: fingerprint.BytesOf(parts), Claim: claim})
		granted = response.GetGranted()
		return err
	})
	return granted && err == nil, err
}

// ReportAnswer reports that a server answered a suspected request.
func (r *QuarantineReporter) ReportAnswer(content fingerprint.Fingerprint) {
	r.add(observation{answered: content, observedAt: time.Now()})
}

func (r *QuarantineReporter) add(observed observation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case observed.end != nil:
		r.unreported.RecordCrash(observed.endAt(observed.observedAt), observed.observedAt.Sub(observed.startedAt), observed.observedAt)
	case observed.answeredParts != nil:
		r.unreported.RecordPartAnswers(partAnswers(observed.answeredParts, observed.observedAt), observed.observedAt)
	default:
		r.unreported.RecordAnswer(observed.answered, observed.observedAt)
	}
	select {
	case r.queue <- observed:
		r.pending = append(r.pending, observed)
		select {
		case r.observed <- struct{}{}:
		default:
		}
	default:
		r.unreported.MarkReported(1)
		log.WithField("waiting", reportQueueSize).Warn("dropping the report of a server's end: the queue is full")
	}
}

// markDone notes that observations were reported or given up.
func (r *QuarantineReporter) markDone(count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.unreported.MarkReported(count)
	r.pending = slices.Delete(r.pending, 0, min(count, len(r.pending)))
	r.pendingFrom += uint64(count)
}

// Run sends reports until the context ends.
func (r *QuarantineReporter) Run(ctx context.Context) {
	var sharing sync.WaitGroup
	defer sharing.Wait()
	sharing.Go(func() { r.runSharing(ctx) })
	for {
		select {
		case first := <-r.queue:
			retry.Pause(ctx, batchDelay)
			r.send(ctx, r.batch(first))
		case <-ctx.Done():
			return
		}
	}
}

// batch collects queued observations up to the size of a call.
func (r *QuarantineReporter) batch(first observation) []observation {
	collected := []observation{first}
	for len(collected) < maxBatchSize {
		select {
		case next := <-r.queue:
			collected = append(collected, next)
		default:
			return collected
		}
	}
	return collected
}

// send sends a report until a coordinator accepts it, or until its contents would no longer be quarantined: a
// report that is given up ends the quarantine in this process, which the coordinators do not know of. A report that
// the coordinators refuse for another reason than their state is given up after promptRetryTime.
func (r *QuarantineReporter) send(ctx context.Context, observations []observation) {
	defer r.markDone(len(observations))
	for {
		err := r.watcher.callCoordinators(ctx, func(callCtx context.Context, address string) error {
			service := rockwindpb.NewQuarantineServiceProtobufClient("http://"+address, twirphttp.Client{HTTPClient: r.watcher.client})
			_, err := service.Report(callCtx, newReport(observations, time.Now()))
			return err
		})
		if err == nil {
			return
		}
		age := time.Since(observations[0].observedAt)
		limit, pause := quarantine.HoldDuration, reportRetryPause
		if !reachesNoLeader(err) {
			limit = promptRetryTime
		}
		if age > promptRetryTime {
			pause = lateReportRetryPause
		}
		if age > limit || !retry.Pause(ctx, pause) {
			log.WithError(err).WithField("observations", len(observations)).Warn("no coordinator accepted the report of ended servers")
			return
		}
	}
}

// reachesNoLeader reports whether a call failed because no coordinator could be reached or none led.
func reachesNoLeader(err error) bool {
	switch fault.From(err).Kind {
	case fault.Unavailable, fault.NotLeader, fault.OutcomeUnknown, fault.Overloaded:
		return true
	}
	return false
}

// newReport returns the report of observations at the given time.
func newReport(observations []observation, now time.Time) *rockwindpb.ReportQuarantineRequest {
	report := &rockwindpb.ReportQuarantineRequest{}
	for _, each := range observations {
		switch {
		case each.end != nil:
			report.Ends = append(report.Ends, each.endAt(now))
		case each.answeredParts != nil:
			report.AnsweredParts = append(report.AnsweredParts, partAnswers(each.answeredParts, now)...)
		default:
			report.Answered = append(report.Answered, each.answered.Bytes())
		}
	}
	return report
}

// endAt returns a copy of the end with its ages at the given time. The same end may be sent to several
// coordinators at once.
func (o observation) endAt(now time.Time) *rockwindpb.ServerEnd {
	end := proto.CloneOf(o.end)
	end.BeganMsAgo = uint64(max(0, now.Sub(o.startedAt).Milliseconds()))
	end.EndedMsAgo = uint64(max(0, now.Sub(o.observedAt).Milliseconds()))
	for _, at := range o.partAnsweredAt {
		age := uint64(0)
		if !at.IsZero() {
			age = uint64(max(1, now.Sub(at).Milliseconds()))
		}
		end.PartAnsweredMsAgo = append(end.PartAnsweredMsAgo, age)
	}
	return end
}

// partAnswers returns answers with their ages at the given time.
func partAnswers(answers []quarantine.PartAnswer, now time.Time) []*rockwindpb.PartAnswer {
	encoded := make([]*rockwindpb.PartAnswer, 0, len(answers))
	for _, each := range answers {
		encoded = append(encoded, &rockwindpb.PartAnswer{Part: each.Part.Bytes(), SentMsAgo: uint64(max(0, now.Sub(each.SentAt).Milliseconds()))})
	}
	return encoded
}
