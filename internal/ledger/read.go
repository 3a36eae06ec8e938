package ledger

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Sizes of pages, in entries.
const (
	defaultPage = 100
	maximumPage = 1000
)

func pageLimit(limit uint32) uint32 {
	if limit == 0 {
		return defaultPage
	}
	return min(limit, maximumPage)
}

// GetJob returns a job that the tenant may see, with an estimate of its end. It
// fails with fault.NotFound.
func (l *Ledger) GetJob(now int64, request *rockwindpb.GetJobRequest) (*rockwindpb.GetJobResponse, error) {
	found, refused := l.findJob(request.JobId, request.Tenant)
	if refused != nil {
		return nil, refused
	}
	return &rockwindpb.GetJobResponse{Job: found.describe(), EstimatedEndUnixMs: found.estimateEnd(now)}, nil
}

// EstimateEnd returns when a job is expected to end, in Unix milliseconds, from
// its recent rate of completions; the end itself once it has ended; and zero
// while no estimate can be made.
func (l *Ledger) EstimateEnd(now int64, jobID string) int64 {
	found, known := l.jobs[jobID]
	if !known {
		return 0
	}
	return found.estimateEnd(now)
}

func (j *job) estimateEnd(now int64) int64 {
	if !j.running() {
		return j.definition.EndedUnixMs
	}
	return j.samples.end(now, j.recorded(), j.definition.ItemCount)
}

// ListJobs returns a page of a tenant's jobs by identifier, without their input.
// An empty tenant lists all jobs.
func (l *Ledger) ListJobs(request *rockwindpb.ListJobsRequest) *rockwindpb.ListJobsResponse {
	var found []*job
	for id, candidate := range l.jobs {
		if candidate.visibleTo(request.Tenant) && id > request.AfterId {
			found = append(found, candidate)
		}
	}
	slices.SortFunc(found, func(a, b *job) int { return cmp.Compare(a.definition.Id, b.definition.Id) })
	response := &rockwindpb.ListJobsResponse{}
	for _, listed := range found[:min(len(found), int(pageLimit(request.Limit)))] {
		response.Jobs = append(response.Jobs, listed.summary())
	}
	return response
}

// ListResults returns a page of a job's results in order of items; items without
// a result are left out. Where the page is in a sealed block, Sealed names it
// and ExpandSealed makes the page. It fails with fault.NotFound.
func (l *Ledger) ListResults(request *rockwindpb.ListResultsRequest) (*rockwindpb.ListResultsResponse, error) {
	found, refused := l.findJob(request.JobId, request.Tenant)
	if refused != nil {
		return nil, refused
	}
	return found.results.page(min(request.FromItem, found.definition.ItemCount), pageLimit(request.Limit)), nil
}

// GetFile returns a file of the tenant; an empty tenant sees all files. It fails
// with fault.NotFound.
func (l *Ledger) GetFile(request *rockwindpb.GetFileRequest) (*rockwindpb.GetFileResponse, error) {
	found, known := l.files[request.Id]
	if !known || (request.Tenant != "" && request.Tenant != found.definition.Tenant) {
		return nil, fault.Newf(fault.NotFound, "upload the file; files are dropped after their retention",
			"there is no file %q", request.Id)
	}
	return &rockwindpb.GetFileResponse{File: proto.CloneOf(found.definition)}, nil
}

// GetRecord returns a copy of the record under a tenant's idempotency key, and
// whether there is one.
func (l *Ledger) GetRecord(tenant, key string) (*rockwindpb.RequestRecord, bool) {
	found, known := l.records[recordKey{tenant: tenant, key: key}]
	if !known {
		return nil, false
	}
	return found.describe(), true
}

// HasWork tells whether items for the models wait, or wait as soon as leases
// that are past their time at now have been expired.
func (l *Ledger) HasWork(models []string, now int64) bool {
	for group := range l.waiting {
		if l.waiting.first(group, models) != nil {
			return true
		}
	}
	l.pruneLeaseDue()
	first, pending := l.leaseDue.first()
	return pending && first <= now && len(models) > 0
}

// NextExpiry returns the next time, in Unix milliseconds and not before now, at
// which an ExpireCommand ends a lease or gives up a record. Retention is coarser:
// for it, the command is proposed about once a minute.
func (l *Ledger) NextExpiry(now int64) (unixMs int64, pending bool) {
	l.pruneLeaseDue()
	next, pending := l.leaseDue.first()
	if started, exists := l.startedDue.first(); exists {
		givenUp := started + DefaultStartedTimeoutMilliseconds
		if !pending || givenUp < next {
			next = givenUp
		}
		pending = true
	}
	return max(next, now), pending
}

// pruneLeaseDue makes the first entry of the queue one of a lease that exists,
// under its present time.
func (l *Ledger) pruneLeaseDue() {
	for len(l.leaseDue.entries) > 0 {
		first := l.leaseDue.entries[0]
		_, current := l.leaseOf(first.key)
		if current != nil && current.expires == first.time {
			return
		}
		l.leaseDue.take(first.time)
		if current != nil {
			l.leaseDue.add(current.expires, first.key)
		}
	}
}

// Demand is the work of one group for one model.
type Demand struct {
	Group string
	Model string
	// Waiting and Leased count items.
	Waiting uint64
	Leased  uint64
}

// Demand returns the unfinished work by group and model, sorted.
func (l *Ledger) Demand() []Demand {
	type place struct{ group, model string }
	sums := map[place]*Demand{}
	for _, found := range l.jobs {
		if !found.running() {
			continue
		}
		definition := found.definition
		at := place{group: definition.Group, model: definition.Model}
		if sums[at] == nil {
			sums[at] = &Demand{Group: at.group, Model: at.model}
		}
		sums[at].Waiting += uint64(found.waiting)
		sums[at].Leased += uint64(definition.ItemCount - found.recorded() - found.waiting)
	}
	demands := make([]Demand, 0, len(sums))
	for _, sum := range sums {
		demands = append(demands, *sum)
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Model, b.Model))
	})
	return demands
}

// Stats counts what a ledger holds.
type Stats struct {
	JobsRunning   int
	JobsCompleted int
	JobsCancelled int
	Leases        int
	Files         int
	Records       int
	// ItemsWaiting and ItemsLeased count items of running jobs.
	ItemsWaiting uint64
	ItemsLeased  uint64
	// ItemsRecorded counts results, ItemsUnsealed those whose references are
	// held in memory.
	ItemsRecorded uint64
	ItemsUnsealed uint64
}

// Stats returns the counts.
func (l *Ledger) Stats() Stats {
	stats := Stats{Files: len(l.files), Records: len(l.records)}
	for _, found := range l.jobs {
		stats.add(found)
	}
	return stats
}

func (s *Stats) add(found *job) {
	switch found.definition.State {
	case rockwindpb.JobState_JOB_STATE_RUNNING:
		s.JobsRunning++
		s.ItemsWaiting += uint64(found.waiting)
		s.ItemsLeased += uint64(found.definition.ItemCount - found.recorded() - found.waiting)
	case rockwindpb.JobState_JOB_STATE_COMPLETED:
		s.JobsCompleted++
	default:
		s.JobsCancelled++
	}
	s.Leases += len(found.leases)
	s.ItemsRecorded += uint64(found.recorded())
	s.ItemsUnsealed += uint64(found.results.unsealed())
}
