package ledgercost

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	leaseMs = 60_000
	// acquireWaitMs is how long the leader may hold an acquire that finds no items.
	acquireWaitMs = 1000
	// minResultBytes and maxResultBytes bound the sizes of results.
	minResultBytes = 256
	maxResultBytes = 4096
	// segmentNumber is a placeholder that encodes to as many bytes as a real segment
	// number.
	segmentNumber = 0x1234567890ab
	// maxReportMicroseconds bounds the recorded durations.
	maxReportMicroseconds = 60_000_000
	significantDigits     = 3
)

// phase is one configuration of callers and report sizes.
type phase struct {
	callers        int
	itemsPerReport int
}

// measureCompletions measures all phases, each on jobs of its own.
func (c *cluster) measureCompletions(ctx context.Context, result *Result) error {
	var err error
	if result.OneByOne, err = c.runPhase(ctx, phase{callers: 1, itemsPerReport: 1}); err != nil {
		return err
	}
	concurrent := phase{callers: c.options.Holders, itemsPerReport: 1}
	if result.OneByOneConcurrent, err = c.runPhase(ctx, concurrent); err != nil {
		return err
	}
	grouped := phase{callers: c.options.Holders, itemsPerReport: c.options.GroupItems}
	result.Grouped, err = c.runPhase(ctx, grouped)
	return err
}

// completionCounts counts the items and report durations of a phase.
type completionCounts struct {
	mutex     sync.Mutex
	items     uint64
	durations *hdrhistogram.Histogram
}

func newCompletionCounts() *completionCounts {
	return &completionCounts{durations: hdrhistogram.New(1, maxReportMicroseconds, significantDigits)}
}

func (c *completionCounts) add(items uint32, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.items += uint64(items)
	// Reports beyond the range of the histogram would have failed.
	_ = c.durations.RecordValue(took.Microseconds())
}

// runPhase leases and reports items with several callers for the configured duration.
func (c *cluster) runPhase(ctx context.Context, p phase) (Completions, error) {
	watcher := startLogWatcher(ctx, c.fleet.Controls[0])
	counts := newCompletionCounts()
	until := time.Now().Add(c.options.Duration)
	workers, workersContext := errgroup.WithContext(ctx)
	started := time.Now()
	for number := range p.callers {
		holder := c.newHolder(fmt.Sprintf("%d-%d-%d", p.callers, p.itemsPerReport, number), p, counts)
		workers.Go(func() error { return holder.run(workersContext, until) })
	}
	err := workers.Wait()
	seconds := time.Since(started).Seconds()
	logBytes := watcher.stop()
	if err != nil {
		return Completions{}, err
	}
	if counts.items == 0 {
		return Completions{}, errors.New("no item was recorded")
	}
	const microsecondsPerMs = 1000
	return Completions{
		Callers: p.callers, ItemsPerReport: p.itemsPerReport,
		Items: counts.items, Seconds: seconds,
		ItemsPerSecond:  float64(counts.items) / seconds,
		ReportP50Ms:     float64(counts.durations.ValueAtQuantile(50)) / microsecondsPerMs,
		ReportP99Ms:     float64(counts.durations.ValueAtQuantile(99)) / microsecondsPerMs,
		LogBytesPerItem: float64(logBytes) / float64(counts.items),
	}, nil
}

// holder simulates a gateway that leases the items of its own jobs and reports them. As
// in a gateway, items of a lease finish in random order, and a report is sorted by item
// with its results stored contiguously.
type holder struct {
	name    string
	phase   phase
	options *Command
	jobs    rockwindpb.JobService
	counts  *completionCounts
	random  *rand.Rand
	offset  uint64
	// submitted counts the jobs of this holder.
	submitted int
	// unleased is the number of items of its newest job not yet leased.
	unleased uint32
}

func (c *cluster) newHolder(name string, p phase, counts *completionCounts) *holder {
	c.holders++
	return &holder{
		name: name, phase: p, options: c.options, counts: counts,
		jobs:   c.client().Jobs(),
		random: rand.New(rand.NewPCG(uint64(c.holders), uint64(p.itemsPerReport))),
	}
}

// run leases and reports items until the deadline.
func (h *holder) run(ctx context.Context, until time.Time) error {
	for time.Now().Before(until) {
		leases, err := h.acquire(ctx, h.options.LeaseItems)
		if err != nil {
			return err
		}
		for _, lease := range leases {
			if err := h.completeLease(ctx, lease, until); err != nil {
				return err
			}
		}
	}
	return nil
}

// acquire leases items of the holder's newest job. It submits a new job if all items
// of that one are leased.
func (h *holder) acquire(ctx context.Context, items uint32) ([]*rockwindpb.Lease, error) {
	if h.unleased == 0 {
		if err := h.submit(ctx); err != nil {
			return nil, err
		}
	}
	acquired, err := h.jobs.AcquireLeases(ctx, &rockwindpb.AcquireLeasesRequest{
		Holder: h.name, MaxItems: items, Models: []string{benchModel},
		LeaseMs: leaseMs, Groups: []string{h.name}, WaitMs: acquireWaitMs,
	})
	if err != nil {
		return nil, err
	}
	var leases []*rockwindpb.Lease
	for _, grant := range acquired.GetGrants() {
		leases = append(leases, grant.GetLease())
		h.unleased -= min(h.unleased, grant.GetLease().GetItemCount())
	}
	return leases, nil
}

// submit submits a job in the holder's own group, so that holders do not share jobs.
func (h *holder) submit(ctx context.Context) error {
	h.submitted++
	h.unleased = h.options.JobItems
	_, err := h.jobs.Submit(ctx, &rockwindpb.SubmitJobRequest{Job: &rockwindpb.Job{
		Tenant: benchTenant, Group: h.name, Model: benchModel,
		ClientKey: fmt.Sprintf("%s-%d", h.name, h.submitted), ItemCount: h.options.JobItems,
	}})
	return err
}

// completeLease reports the items of a lease in random order, itemsPerReport at a time.
func (h *holder) completeLease(ctx context.Context, lease *rockwindpb.Lease, until time.Time) error {
	items := h.random.Perm(int(lease.GetItemCount()))
	for group := range slices.Chunk(items, h.phase.itemsPerReport) {
		if time.Now().After(until) {
			return nil
		}
		completion := &rockwindpb.LeaseCompletion{JobId: lease.GetJobId(), Fence: lease.GetFence()}
		slices.Sort(group)
		for _, offset := range group {
			completion.Items = append(completion.Items, &rockwindpb.ItemCompletion{
				Item:    lease.GetFirstItem() + uint32(offset),
				Outcome: rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED,
				Result:  h.nextResult(),
			})
		}
		started := time.Now()
		response, err := h.jobs.CompleteItems(ctx, &rockwindpb.CompleteItemsRequest{
			Holder: h.name, Completions: []*rockwindpb.LeaseCompletion{completion},
		})
		if err != nil {
			return err
		}
		h.counts.add(recordedItems(response), time.Since(started))
	}
	return nil
}

func recordedItems(response *rockwindpb.CompleteItemsResponse) uint32 {
	total := uint32(0)
	for _, verdict := range response.GetVerdicts() {
		total += verdict.GetRecorded()
	}
	return total
}

// nextResult returns a reference to a result of random size, like those of the body
// store.
func (h *holder) nextResult() *rockwindpb.BodyReference {
	reference := &rockwindpb.BodyReference{
		Segment: segmentNumber, Offset: h.offset,
		Length:   minResultBytes + h.random.Uint32N(maxResultBytes-minResultBytes),
		Checksum: h.random.Uint32(),
	}
	h.offset += uint64(reference.GetLength())
	return reference
}
