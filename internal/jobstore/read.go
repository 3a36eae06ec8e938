package jobstore

import (
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

func hash(id string) uint64 { return xxhash.Sum64String(id) }

// Digest is the SHA-256 of what a job asks for: its tenant, its items and the address that
// they were submitted to. A resend has the same digest.
func Digest(job *rockwindpb.StoredJob) ([]byte, error) {
	asked := &rockwindpb.StoredJob{Id: job.GetId(), Host: job.GetHost(), Path: job.GetPath(), Items: job.GetItems(), Tenant: job.GetTenant()}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(asked)
	if err != nil {
		return nil, fault.Newf(fault.InvalidArgument, "send the job again", "the job cannot be encoded: %v", err)
	}
	sum := sha256.Sum256(encoded)
	return sum[:], nil
}

// OpenItem is an item that may still run.
type OpenItem struct {
	// Job is the identifier of its job, and Index its place there.
	Job   string
	Index uint32
	// Host and JobPath are those of the job's submission.
	Host    string
	JobPath string
	// Item is shared with the state: nothing in it may be changed, and its body
	// must not be read, since the state lets go of it.
	Item *rockwindpb.StoredItem
	// Body is the item's body.
	Body []byte
	// SubmittedUnixMs is when the job was submitted.
	SubmittedUnixMs int64
	// Tenant owns the job; empty where the site has no tenants.
	Tenant string
	// Failures is how many tries a server answered as failed.
	Failures int
	// PartialOutput is what the shard holds of the item's output.
	PartialOutput PartialOutput
}

// OpenItems lists the items without a result of jobs that are open, given a
// function that tells which of them are wanted.
func (m *Machine) OpenItems(wanted func(job string, index uint32) bool) []OpenItem {
	var open []OpenItem
	for id, known := range m.jobs {
		if !known.open() {
			continue
		}
		for index, item := range known.stored.GetItems() {
			if known.position[index] != 0 || !wanted(id, uint32(index)) {
				continue
			}
			open = append(open, OpenItem{
				Job: id, Index: uint32(index), Host: known.stored.GetHost(), JobPath: known.stored.GetPath(),
				Item: item, Body: item.GetBody(), SubmittedUnixMs: known.stored.GetSubmittedUnixMs(),
				Tenant: known.stored.GetTenant(), Failures: int(known.failuresOf(uint32(index)).GetCount()),
				PartialOutput: known.received(uint32(index)),
			})
		}
	}
	return open
}

// Has tells whether a job was taken.
func (m *Machine) Has(id string) bool {
	_, found := m.jobs[id]
	return found
}

// WaitingTokens sums up the tokens of the items that may still run, over the jobs of a
// tenant whose host and path are wanted.
func (m *Machine) WaitingTokens(tenant string, wanted func(host, path string) bool) uint64 {
	sum := uint64(0)
	for _, known := range m.jobs {
		if known.open() && known.stored.GetTenant() == tenant && wanted(known.stored.GetHost(), known.stored.GetPath()) {
			sum += known.waiting
		}
	}
	return sum
}

// TokensOf sums up the tokens of the items of a job.
func TokensOf(job *rockwindpb.StoredJob) uint64 {
	sum := uint64(0)
	for _, item := range job.GetItems() {
		sum += item.GetTokens()
	}
	return sum
}

// Runnable tells whether an item may still run.
func (m *Machine) Runnable(id string, index uint32) bool {
	known, found := m.jobs[id]
	return found && known.open() && known.position[index] == 0
}

// owned finds a job of a tenant.
func (m *Machine) owned(id, tenant string) (*job, *fault.Fault) {
	known, found := m.jobs[id]
	if !found {
		return nil, unknownJob(id)
	}
	if known.stored.GetTenant() != tenant {
		return nil, fault.Newf(fault.Unauthenticated, "send a key of the tenant that submitted the job", "job %q belongs to another tenant", id)
	}
	return known, nil
}

// Read returns the results of a tenant's job from a position on: at least one where there
// is one, and no more than maximumBytes of text after the first.
func (m *Machine) Read(id, tenant string, from uint32, maximumBytes int) (*rockwindpb.ReadStoredJobResponse, error) {
	known, failure := m.owned(id, tenant)
	if failure != nil {
		return nil, failure
	}
	response := &rockwindpb.ReadStoredJobResponse{Total: uint32(len(known.stored.GetItems()))}
	if int(from) >= len(known.stored.GetResults()) {
		return response, nil
	}
	size := 0
	for _, result := range known.stored.GetResults()[from:] {
		size += len(result.GetText())
		if len(response.GetResults()) > 0 && size > maximumBytes {
			break
		}
		response.Results = append(response.Results, &rockwindpb.ReadResult{
			Id: known.stored.GetItems()[result.GetItem()].GetId(), Outcome: result.GetOutcome(), Text: result.GetText(),
		})
	}
	return response, nil
}

// Body returns the body of an item of a tenant's job that has no result yet.
func (m *Machine) Body(id, tenant, item string) ([]byte, error) {
	known, failure := m.owned(id, tenant)
	if failure != nil {
		return nil, failure
	}
	index, found := known.byID[item]
	if !found || known.position[index] != 0 || known.stored.GetEnded() {
		return nil, fault.Newf(fault.NotFound, "read the results of the job instead", "item %q of job %q is not open", item, id)
	}
	return known.stored.GetItems()[index].GetBody(), nil
}

// Expired lists jobs that were submitted before the given time and are not open.
func (m *Machine) Expired(beforeUnixMs int64) []string {
	var expired []string
	for id, known := range m.jobs {
		if !known.open() && known.stored.GetSubmittedUnixMs() < beforeUnixMs {
			expired = append(expired, id)
		}
	}
	return expired
}
