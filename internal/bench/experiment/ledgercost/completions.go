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
	leaseMilliseconds = 60_000
	// acquireWait is how long an acquire may be held until the leader knows of the
	// work that was submitted, in ms.
	acquireWait = 1000
	// smallestResult and largestResult bound the sizes of results, in bytes.
	smallestResult = 256
	largestResult  = 4096
	// segmentNumber stands for a segment of results; its number has the size that
	// real ones have.
	segmentNumber = 0x1234567890ab
	// longestReport bounds the recorded durations, in microseconds.
	longestReport = 60_000_000
	significant   = 3
)

// phase is one way to report items.
type phase struct {
	callers        int
	itemsPerReport int
}

// measureCompletions measures the ways to report, each on jobs of its own.
func (c *cluster) measureCompletions(ctx context.Context, result *Result) error {
	var err error
	if result.OneByOne, err = c.complete(ctx, phase{callers: 1, itemsPerReport: 1}); err != nil {
		return err
	}
	concurrent := phase{callers: c.options.Holders, itemsPerReport: 1}
	if result.OneByOneConcurrent, err = c.complete(ctx, concurrent); err != nil {
		return err
	}
	grouped := phase{callers: c.options.Holders, itemsPerReport: c.options.GroupItems}
	result.Grouped, err = c.complete(ctx, grouped)
	return err
}

// tally counts what the callers of a phase recorded.
type tally struct {
	mutex     sync.Mutex
	items     uint64
	durations *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{durations: hdrhistogram.New(1, longestReport, significant)}
}

func (t *tally) add(items uint32, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.items += uint64(items)
	// Longer ones than the histogram holds would have failed.
	_ = t.durations.RecordValue(took.Microseconds())
}

// complete lets callers lease and report items for the length of a phase.
func (c *cluster) complete(ctx context.Context, p phase) (Completions, error) {
	watch := startLogWatch(ctx, c.fleet.Controls[0])
	counts := newTally()
	until := time.Now().Add(c.options.Duration)
	workers, working := errgroup.WithContext(ctx)
	began := time.Now()
	for number := range p.callers {
		holder := c.newHolder(fmt.Sprintf("%d-%d-%d", p.callers, p.itemsPerReport, number), p, counts)
		workers.Go(func() error { return holder.run(working, until) })
	}
	err := workers.Wait()
	seconds := time.Since(began).Seconds()
	logBytes := watch.stop()
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

// holder is a gateway that leases items of jobs of its own and reports them. As in
// a gateway, items of a lease end in any order, and the results of a report are
// sorted by item and stored one behind the other.
type holder struct {
	name    string
	phase   phase
	options *Command
	jobs    rockwindpb.JobService
	counts  *tally
	random  *rand.Rand
	offset  uint64
	// submitted counts jobs of this holder.
	submitted int
	// waiting counts the items of its newest job that it has not leased.
	waiting uint32
}

func (c *cluster) newHolder(name string, p phase, counts *tally) *holder {
	c.submitted++
	return &holder{
		name: name, phase: p, options: c.options, counts: counts,
		jobs:   c.client().Jobs(),
		random: rand.New(rand.NewPCG(uint64(c.submitted), uint64(p.itemsPerReport))),
	}
}

// run leases and reports until the time is over.
func (h *holder) run(ctx context.Context, until time.Time) error {
	for time.Now().Before(until) {
		leases, err := h.acquire(ctx, h.options.LeaseItems)
		if err != nil {
			return err
		}
		for _, lease := range leases {
			if err := h.runLease(ctx, lease, until); err != nil {
				return err
			}
		}
	}
	return nil
}

// acquire leases items of the holder's newest job, or of a new one where all
// items of that are leased.
func (h *holder) acquire(ctx context.Context, items uint32) ([]*rockwindpb.Lease, error) {
	if h.waiting == 0 {
		if err := h.submit(ctx); err != nil {
			return nil, err
		}
	}
	acquired, err := h.jobs.AcquireLeases(ctx, &rockwindpb.AcquireLeasesRequest{
		Holder: h.name, MaxItems: items, Models: []string{benchModel},
		LeaseMs: leaseMilliseconds, Groups: []string{h.name}, WaitMs: acquireWait,
	})
	if err != nil {
		return nil, err
	}
	var leases []*rockwindpb.Lease
	for _, grant := range acquired.GetGrants() {
		leases = append(leases, grant.GetLease())
		h.waiting -= min(h.waiting, grant.GetLease().GetItemCount())
	}
	return leases, nil
}

// submit submits one more job in the holder's own group, so that holders do not
// share jobs.
func (h *holder) submit(ctx context.Context) error {
	h.submitted++
	h.waiting = h.options.JobItems
	_, err := h.jobs.Submit(ctx, &rockwindpb.SubmitJobRequest{Job: &rockwindpb.Job{
		Tenant: benchTenant, Group: h.name, Model: benchModel,
		ClientKey: fmt.Sprintf("%s-%d", h.name, h.submitted), ItemCount: h.options.JobItems,
	}})
	return err
}

// runLease reports the items of a lease in groups, in the order in which they
// happened to end.
func (h *holder) runLease(ctx context.Context, lease *rockwindpb.Lease, until time.Time) error {
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
				Result:  h.storedResult(),
			})
		}
		began := time.Now()
		response, err := h.jobs.CompleteItems(ctx, &rockwindpb.CompleteItemsRequest{
			Holder: h.name, Completions: []*rockwindpb.LeaseCompletion{completion},
		})
		if err != nil {
			return err
		}
		h.counts.add(recorded(response), time.Since(began))
	}
	return nil
}

func recorded(response *rockwindpb.CompleteItemsResponse) uint32 {
	total := uint32(0)
	for _, verdict := range response.GetVerdicts() {
		total += verdict.GetRecorded()
	}
	return total
}

// storedResult is a reference as the store of bodies gives out.
func (h *holder) storedResult() *rockwindpb.BodyReference {
	reference := &rockwindpb.BodyReference{
		Segment: segmentNumber, Offset: h.offset,
		Length:   smallestResult + h.random.Uint32N(largestResult-smallestResult),
		Checksum: h.random.Uint32(),
	}
	h.offset += uint64(reference.GetLength())
	return reference
}
