package batch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Bounds of reporting.
const (
	// reportEvery is how long a report may wait for others.
	reportEvery = 50 * time.Millisecond
	// maximumReports bounds the reports of one group.
	maximumReports = 1024
	// maximumReportBytes bounds the results of one group.
	maximumReportBytes = 4 << 20
	// reportsInFlight bounds the groups that are reported at once.
	reportsInFlight = 4
	// reportTimeout bounds one call.
	reportTimeout = 10 * time.Second
	// reportPause is the pause after a failed call.
	reportPause = 200 * time.Millisecond
)

// report is the end of one item, or of a lease.
type report struct {
	key     leaseKey
	item    uint32
	outcome rockwindpb.ItemOutcome
	body    []byte
	release bool
}

// acknowledged counts the reports of a lease that the ledger has answered.
type acknowledged struct {
	key      leaseKey
	items    int
	released bool
	verdict  *rockwindpb.LeaseVerdict
}

// reporter stores results and records items in groups.
type reporter struct {
	options Options
	done    chan<- []acknowledged
	places  chan struct{}

	mutex sync.Mutex
	queue []report
	bytes int
	wake  chan struct{}
}

func newReporter(options Options, done chan<- []acknowledged) *reporter {
	return &reporter{
		options: options, done: done,
		places: make(chan struct{}, reportsInFlight), wake: make(chan struct{}, 1),
	}
}

// add queues a report; it never blocks.
func (r *reporter) add(added report) {
	r.mutex.Lock()
	r.queue = append(r.queue, added)
	r.bytes += len(added.body)
	full := len(r.queue) >= maximumReports || r.bytes >= maximumReportBytes
	r.mutex.Unlock()
	if full {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// take removes one group from the queue.
func (r *reporter) take() []report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count, size := 0, 0
	for count < len(r.queue) && count < maximumReports && (count == 0 || size+len(r.queue[count].body) <= maximumReportBytes) {
		size += len(r.queue[count].body)
		count++
	}
	group := append([]report(nil), r.queue[:count]...)
	r.queue = append(r.queue[:0], r.queue[count:]...)
	r.bytes -= size
	return group
}

// run reports groups until the context ends.
func (r *reporter) run(ctx context.Context) {
	var flights sync.WaitGroup
	defer flights.Wait()
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-ticker.C:
		}
		for {
			group := r.take()
			if len(group) == 0 {
				break
			}
			select {
			case r.places <- struct{}{}:
			case <-ctx.Done():
				return
			}
			flights.Go(func() {
				r.deliver(ctx, group)
				<-r.places
			})
		}
	}
}

// deliver stores the results of a group and records its items, again and again
// until the ledger has answered for each lease. Both may be repeated: bodies
// are stored under fresh references, and the ledger records an item once.
func (r *reporter) deliver(ctx context.Context, group []report) {
	slices.SortStableFunc(group, compareReports)
	references := r.store(ctx, group)
	if references == nil {
		return
	}
	pending := completions(group, references)
	for len(pending) > 0 {
		bounded, cancel := context.WithTimeout(ctx, reportTimeout)
		response, err := r.options.Jobs.CompleteItems(bounded, &rockwindpb.CompleteItemsRequest{
			Holder: r.options.Holder, Completions: pending,
		})
		cancel()
		if err != nil {
			r.options.Log.WithError(err).Warn("items are not recorded yet")
		}
		pending = r.answered(ctx, pending, response.GetVerdicts())
		if len(pending) > 0 && !retry.Pause(ctx, reportPause) {
			return
		}
	}
}

// compareReports orders reports by lease and item. Items end in any order; results
// that are stored in the order of the items cost less of the ledger's log, and are
// read back in one run.
func compareReports(left, right report) int {
	return cmp.Or(
		cmp.Compare(left.key.job, right.key.job),
		cmp.Compare(left.key.fence, right.key.fence),
		cmp.Compare(left.item, right.item),
	)
}

// store stores the bodies of a group until it succeeds; the result is aligned
// with the group, and nil when the context ended.
func (r *reporter) store(ctx context.Context, group []report) []*rockwindpb.BodyReference {
	references := make([]*rockwindpb.BodyReference, len(group))
	var bodies [][]byte
	var owners []int
	for index, current := range group {
		if current.body != nil {
			bodies = append(bodies, current.body)
			owners = append(owners, index)
		}
	}
	for len(bodies) > 0 {
		bounded, cancel := context.WithTimeout(ctx, reportTimeout)
		response, err := r.options.Bodies.Store(bounded, &rockwindpb.StoreBodiesRequest{Bodies: bodies})
		cancel()
		if err == nil && len(response.GetReferences()) == len(bodies) {
			for position, reference := range response.GetReferences() {
				references[owners[position]] = reference
			}
			break
		}
		r.options.Log.WithField("error", err).Warn("results are not stored yet")
		if !retry.Pause(ctx, reportPause) {
			return nil
		}
	}
	return references
}

// completions groups reports by lease.
func completions(group []report, references []*rockwindpb.BodyReference) []*rockwindpb.LeaseCompletion {
	byLease := make(map[leaseKey]*rockwindpb.LeaseCompletion)
	var ordered []*rockwindpb.LeaseCompletion
	for index, current := range group {
		completion := byLease[current.key]
		if completion == nil {
			completion = &rockwindpb.LeaseCompletion{JobId: current.key.job, Fence: current.key.fence}
			byLease[current.key] = completion
			ordered = append(ordered, completion)
		}
		if current.release {
			completion.Release = true
			continue
		}
		completion.Items = append(completion.Items, &rockwindpb.ItemCompletion{
			Item: current.item, Outcome: current.outcome, Result: references[index],
		})
	}
	return ordered
}

// answered tells the owner of the leases that were answered and returns those
// that were not.
func (r *reporter) answered(ctx context.Context, sent []*rockwindpb.LeaseCompletion, verdicts []*rockwindpb.LeaseVerdict) []*rockwindpb.LeaseCompletion {
	byLease := make(map[leaseKey]*rockwindpb.LeaseVerdict, len(verdicts))
	for _, verdict := range verdicts {
		byLease[leaseKey{job: verdict.GetJobId(), fence: verdict.GetFence()}] = verdict
	}
	var left []*rockwindpb.LeaseCompletion
	var acks []acknowledged
	for _, completion := range sent {
		key := leaseKey{job: completion.GetJobId(), fence: completion.GetFence()}
		verdict := byLease[key]
		if verdict == nil {
			left = append(left, completion)
			continue
		}
		acks = append(acks, acknowledged{key: key, items: len(completion.GetItems()), released: completion.GetRelease(), verdict: verdict})
	}
	if len(acks) > 0 {
		select {
		case r.done <- acks:
		case <-ctx.Done():
		}
	}
	return left
}

// acknowledge takes the ledger's answers to reports.
func (e *Executor) acknowledge(acks []acknowledged) {
	for _, ack := range acks {
		held := e.leases[ack.key]
		if held == nil {
			continue
		}
		held.unacknowledged -= ack.items
		if ack.released {
			delete(e.leases, ack.key)
			continue
		}
		e.judge([]*rockwindpb.LeaseVerdict{ack.verdict})
		if e.leases[ack.key] != nil {
			e.releaseIfDone(held)
		}
	}
}
