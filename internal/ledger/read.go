package ledger

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Page sizes, in entries.
const (
	defaultPageSize = 100
	maximumPageSize = 1000
)

func pageLimit(limit uint32) uint32 {
	if limit == 0 {
		return defaultPageSize
	}
	return min(limit, maximumPageSize)
}

// GetJob returns a job and its estimated end. It fails with fault.NotFound if the job
// does not exist or belongs to another tenant.
func (l *Ledger) GetJob(now int64, request *rockwindpb.GetJobRequest) (*rockwindpb.GetJobResponse, error) {
	found, failure := l.findJob(request.JobId, request.Tenant)
	if failure != nil {
		return nil, failure
	}
	return &rockwindpb.GetJobResponse{Job: found.toProto(), EstimatedEndUnixMs: found.estimateEnd(now)}, nil
}

// EstimateEnd returns the expected end of a job in Unix milliseconds, based on its
// recent completion rate. It returns the actual end of an ended job, and zero if no
// estimate is possible.
func (l *Ledger) EstimateEnd(now int64, jobID string) int64 {
	found, exists := l.jobs[jobID]
	if !exists {
		return 0
	}
	return found.estimateEnd(now)
}

func (j *job) estimateEnd(now int64) int64 {
	if !j.running() {
		return j.definition.EndedUnixMs
	}
	return j.samples.estimateEnd(now, j.recorded(), j.definition.ItemCount)
}

// ListJobs returns a page of a tenant's jobs sorted by identifier, without their input.
// An empty tenant lists the jobs of all tenants.
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

// ListResults returns a page of a job's results sorted by item, without items that have
// no result. If the page starts in a sealed block, it returns the reference of the
// block in Sealed, and ExpandSealed produces the results. It fails with fault.NotFound
// if the job does not exist or belongs to another tenant.
func (l *Ledger) ListResults(request *rockwindpb.ListResultsRequest) (*rockwindpb.ListResultsResponse, error) {
	found, failure := l.findJob(request.JobId, request.Tenant)
	if failure != nil {
		return nil, failure
	}
	return found.results.page(min(request.FromItem, found.definition.ItemCount), pageLimit(request.Limit)), nil
}

// GetFile returns the metadata of a file. An empty tenant may read all files. It fails
// with fault.NotFound if the file does not exist or belongs to another tenant.
func (l *Ledger) GetFile(request *rockwindpb.GetFileRequest) (*rockwindpb.GetFileResponse, error) {
	found, exists := l.files[request.Id]
	if !exists || (request.Tenant != "" && request.Tenant != found.definition.Tenant) {
		return nil, fault.Newf(fault.NotFound, "upload the file; files are dropped after their retention",
			"there is no file %q", request.Id)
	}
	return &rockwindpb.GetFileResponse{File: proto.CloneOf(found.definition)}, nil
}

// GetRecord returns a copy of the record of a tenant's idempotency key, and whether it
// exists.
func (l *Ledger) GetRecord(tenant, key string) (*rockwindpb.RequestRecord, bool) {
	found, exists := l.records[recordKey{tenant: tenant, key: key}]
	if !exists {
		return nil, false
	}
	return found.toProto(), true
}

// HasWork reports whether items for the models are waiting. It also returns true if any
// lease has expired at now, since its items may be for one of the models.
func (l *Ledger) HasWork(models []string, now int64) bool {
	for group := range l.waiting {
		if l.waiting.first(group, models) != nil {
			return true
		}
	}
	l.dropStaleExpiries()
	first, pending := l.leaseExpiries.earliest()
	return pending && first <= now && len(models) > 0
}

// NextExpiry returns the next time, in Unix milliseconds and not before now, at which
// an ExpireCommand ends a lease or times out a record. It ignores retention, for which
// the command is proposed about once a minute.
func (l *Ledger) NextExpiry(now int64) (unixMs int64, pending bool) {
	l.dropStaleExpiries()
	next, pending := l.leaseExpiries.earliest()
	if started, exists := l.startedRecords.earliest(); exists {
		timeout := started + DefaultStartedTimeoutMilliseconds
		if !pending || timeout < next {
			next = timeout
		}
		pending = true
	}
	return max(next, now), pending
}

// dropStaleExpiries removes or updates entries until the first entry of the queue has
// the current expiry of an existing lease.
func (l *Ledger) dropStaleExpiries() {
	for len(l.leaseExpiries.entries) > 0 {
		first := l.leaseExpiries.entries[0]
		_, current := l.leaseOf(first.key)
		if current != nil && current.expires == first.time {
			return
		}
		l.leaseExpiries.popDue(first.time)
		if current != nil {
			l.leaseExpiries.add(current.expires, first.key)
		}
	}
}

// Demand is the unfinished work of one group for one model.
type Demand struct {
	Group string
	Model string
	// Waiting and Leased are numbers of items.
	Waiting uint64
	Leased  uint64
}

// Demand returns the unfinished work, sorted by group and model.
func (l *Ledger) Demand() []Demand {
	type demandKey struct{ group, model string }
	sums := map[demandKey]*Demand{}
	for _, found := range l.jobs {
		if !found.running() {
			continue
		}
		definition := found.definition
		key := demandKey{group: definition.Group, model: definition.Model}
		if sums[key] == nil {
			sums[key] = &Demand{Group: key.group, Model: key.model}
		}
		sums[key].Waiting += uint64(found.waiting)
		sums[key].Leased += uint64(definition.ItemCount - found.recorded() - found.waiting)
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

// Stats holds the numbers of entries in a ledger.
type Stats struct {
	JobsRunning   int
	JobsCompleted int
	JobsCancelled int
	Leases        int
	Files         int
	Records       int
	// ItemsWaiting and ItemsLeased cover running jobs only.
	ItemsWaiting uint64
	ItemsLeased  uint64
	// ItemsRecorded is the number of results, ItemsUnsealed the number of those whose
	// references are in memory.
	ItemsRecorded uint64
	ItemsUnsealed uint64
}

// Stats returns the current counts.
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
