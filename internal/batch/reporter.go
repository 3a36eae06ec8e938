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

// Limits for reporting.
const (
	// reportInterval is how long a report may wait to be grouped with others.
	reportInterval = 50 * time.Millisecond
	// maximumReports bounds the reports of one group.
	maximumReports = 1024
	// maximumReportBytes bounds the results of one group.
	maximumReportBytes = 4 << 20
	// reportsInFlight bounds the groups that are reported concurrently.
	reportsInFlight = 4
	// reportTimeout bounds one call.
	reportTimeout = 10 * time.Second
	// reportPause is the pause after a failed call.
	reportPause = 200 * time.Millisecond
)

// report is the outcome of one item, or the release of a lease.
type report struct {
	key     leaseKey
	item    uint32
	outcome rockwindpb.ItemOutcome
	body    []byte
	release bool
}

// acknowledgement is the ledger's answer to the reports of one lease.
type acknowledgement struct {
	key      leaseKey
	items    int
	released bool
	verdict  *rockwindpb.LeaseVerdict
}

// reporter stores the results of items and records their outcomes, in groups.
type reporter struct {
	options Options
	done    chan<- []acknowledgement
	slots   chan struct{}

	mutex sync.Mutex
	queue []report
	bytes int
	wake  chan struct{}
}

func newReporter(options Options, done chan<- []acknowledgement) *reporter {
	return &reporter{
		options: options, done: done,
		slots: make(chan struct{}, reportsInFlight), wake: make(chan struct{}, 1),
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

// take removes the next group from the queue.
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
	var deliveries sync.WaitGroup
	defer deliveries.Wait()
	ticker := time.NewTicker(reportInterval)
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
			case r.slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			deliveries.Go(func() {
				r.deliver(ctx, group)
				<-r.slots
			})
		}
	}
}

// deliver stores the results of a group and records its items, with retries until
// the ledger has answered for each lease. Both steps are safe to repeat: bodies are
// stored under new references, and the ledger records an item once.
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
			r.options.Log.WithError(err).Warn("failed to record items; retrying")
		}
		pending = r.processVerdicts(ctx, pending, response.GetVerdicts())
		if len(pending) > 0 && !retry.Pause(ctx, reportPause) {
			return
		}
	}
}

// compareReports orders reports by lease and item. Results stored in item order take
// less space in the ledger's log and are read back sequentially.
func compareReports(left, right report) int {
	return cmp.Or(
		cmp.Compare(left.key.job, right.key.job),
		cmp.Compare(left.key.fence, right.key.fence),
		cmp.Compare(left.item, right.item),
	)
}

// store stores the bodies of a group, with retries. It returns one reference per
// report, nil for those without a body, or nil if the context ended.
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
		r.options.Log.WithField("error", err).Warn("failed to store results; retrying")
		if !retry.Pause(ctx, reportPause) {
			return nil
		}
	}
	return references
}

// completions combines reports into one completion per lease.
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

// processVerdicts passes the verdicts to the owner goroutine and returns the
// completions without one.
func (r *reporter) processVerdicts(ctx context.Context, sent []*rockwindpb.LeaseCompletion, verdicts []*rockwindpb.LeaseVerdict) []*rockwindpb.LeaseCompletion {
	byLease := make(map[leaseKey]*rockwindpb.LeaseVerdict, len(verdicts))
	for _, verdict := range verdicts {
		byLease[leaseKey{job: verdict.GetJobId(), fence: verdict.GetFence()}] = verdict
	}
	var left []*rockwindpb.LeaseCompletion
	var acks []acknowledgement
	for _, completion := range sent {
		key := leaseKey{job: completion.GetJobId(), fence: completion.GetFence()}
		verdict := byLease[key]
		if verdict == nil {
			left = append(left, completion)
			continue
		}
		acks = append(acks, acknowledgement{key: key, items: len(completion.GetItems()), released: completion.GetRelease(), verdict: verdict})
	}
	if len(acks) > 0 {
		select {
		case r.done <- acks:
		case <-ctx.Done():
		}
	}
	return left
}

// acknowledge applies the ledger's answers to reports.
func (e *Executor) acknowledge(acks []acknowledgement) {
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
		e.applyVerdicts([]*rockwindpb.LeaseVerdict{ack.verdict})
		if e.leases[ack.key] != nil {
			e.releaseIfDone(held)
		}
	}
}
