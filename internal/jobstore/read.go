package jobstore

import (
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

func hash(id string) uint64 { return xxhash.Sum64String(id) }

// Digest returns the SHA-256 of the content of a job: its tenant, its items and the address
// that it was submitted to. A resubmission has the same digest.
func Digest(job *rockwindpb.StoredJob) ([]byte, error) {
	request := &rockwindpb.StoredJob{Id: job.GetId(), Host: job.GetHost(), Path: job.GetPath(), Items: job.GetItems(), Tenant: job.GetTenant()}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(request)
	if err != nil {
		return nil, fault.Newf(fault.InvalidArgument, "send the job again", "the job cannot be encoded: %v", err)
	}
	sum := sha256.Sum256(encoded)
	return sum[:], nil
}

// OpenItem is an item that may still run.
type OpenItem struct {
	// Job is the identifier of the job, and Index the position of the item in it.
	Job   string
	Index uint32
	// Host and JobPath are the address that the job was submitted to.
	Host    string
	JobPath string
	// Item is shared with the state and must not be modified. Use the field Body for its body,
	// since the state may clear the one in Item.
	Item *rockwindpb.StoredItem
	Body []byte
	// SubmittedUnixMs is when the job was submitted.
	SubmittedUnixMs int64
	// Tenant is the owner of the job; empty if the site has no tenants.
	Tenant string
	// Configuration is the number of the configuration by which the job was accepted, zero if it is not
	// known. An earlier one may lack the job's route.
	Configuration uint64
	// Failures is the recorded number of failed attempts.
	Failures int
	// PartialOutput is the recorded output of the item.
	PartialOutput PartialOutput
}

// OpenItems returns the items that may be started in this shard and are wanted.
func (m *Machine) OpenItems(wanted func(job string, index uint32) bool) []OpenItem {
	var open []OpenItem
	for id, j := range m.jobs {
		if !j.open() || j.moveState() != owned {
			continue
		}
		for index, item := range j.stored.GetItems() {
			if j.resultNumber[index] != 0 || !wanted(id, uint32(index)) {
				continue
			}
			open = append(open, OpenItem{
				Job: id, Index: uint32(index), Host: j.stored.GetHost(), JobPath: j.stored.GetPath(),
				Item: item, Body: item.GetBody(), SubmittedUnixMs: j.stored.GetSubmittedUnixMs(),
				Tenant: j.stored.GetTenant(), Configuration: j.stored.GetConfiguration(), Failures: int(j.failuresOf(uint32(index)).GetCount()),
				PartialOutput: j.partialOutput(uint32(index)),
			})
		}
	}
	return open
}

// EndedJob is a job of this shard that its owner has ended.
type EndedJob struct{ ID, Tenant string }

// EndedJobs returns the ended jobs that the shard has.
func (m *Machine) EndedJobs() []EndedJob {
	var ended []EndedJob
	for id, j := range m.jobs {
		if j.here() && j.stored.GetEnded() {
			ended = append(ended, EndedJob{ID: id, Tenant: j.stored.GetTenant()})
		}
	}
	return ended
}

// Has reports whether the shard has the job, a copy of it that does not count yet, or a marker of it.
func (m *Machine) Has(id string) bool {
	_, found := m.jobs[id]
	return found
}

// WaitingTokens returns the sum of the tokens of the items that may still run, for jobs of the
// tenant whose host and path are wanted. A job that moves counts in both shards until its move is confirmed.
func (m *Machine) WaitingTokens(tenant string, wanted func(host, path string) bool) uint64 {
	sum := uint64(0)
	for _, j := range m.jobs {
		if (j.open() || j.moveState() == moved) && j.stored.GetTenant() == tenant && wanted(j.stored.GetHost(), j.stored.GetPath()) {
			sum += j.waitingTokens
		}
	}
	return sum
}

// TokensOf returns the sum of the tokens of the items of a job.
func TokensOf(job *rockwindpb.StoredJob) uint64 {
	sum := uint64(0)
	for _, item := range job.GetItems() {
		sum += item.GetTokens()
	}
	return sum
}

// Runnable reports whether the result of an item is still wanted in this shard. Items of a leaving job are
// runnable, although none is started.
func (m *Machine) Runnable(id string, index uint32) bool {
	j, found := m.jobHere(id)
	return found && j.open() && j.resultNumber[index] == 0
}

// Failures returns the number of recorded failed attempts of an item.
func (m *Machine) Failures(id string, index uint32) int {
	j, found := m.jobHere(id)
	if !found {
		return 0
	}
	return int(j.failuresOf(index).GetCount())
}

// jobOfTenant returns a job if it belongs to the tenant.
func (m *Machine) jobOfTenant(id, tenant string) (*job, *fault.Fault) {
	j, found := m.jobHere(id)
	if !found {
		return nil, unknownJob(id)
	}
	if j.stored.GetTenant() != tenant {
		return nil, fault.Newf(fault.Unauthenticated, "send a key of the tenant that submitted the job", "job %q belongs to another tenant", id)
	}
	return j, nil
}

// Read returns the results of a tenant's job from a position on. It returns at least one if
// there is one, and stops before the total text exceeds maximumBytes.
func (m *Machine) Read(id, tenant string, from uint32, maximumBytes int) (*rockwindpb.ReadStoredJobResponse, error) {
	j, failure := m.jobOfTenant(id, tenant)
	if failure != nil {
		return nil, failure
	}
	response := &rockwindpb.ReadStoredJobResponse{Total: uint32(len(j.stored.GetItems()))}
	if int(from) >= len(j.stored.GetResults()) {
		return response, nil
	}
	size := 0
	for _, result := range j.stored.GetResults()[from:] {
		size += len(result.GetText())
		if len(response.GetResults()) > 0 && size > maximumBytes {
			break
		}
		response.Results = append(response.Results, &rockwindpb.ReadResult{
			Id: j.stored.GetItems()[result.GetItem()].GetId(), Outcome: result.GetOutcome(), Text: result.GetText(),
		})
	}
	return response, nil
}

// Body returns the body of an item without a result of a tenant's job.
func (m *Machine) Body(id, tenant, item string) ([]byte, error) {
	j, failure := m.jobOfTenant(id, tenant)
	if failure != nil {
		return nil, failure
	}
	index, found := j.indexByID[item]
	if !found || j.resultNumber[index] != 0 || j.stored.GetEnded() {
		return nil, fault.Newf(fault.NotFound, "read the results of the job instead", "item %q of job %q is not open", item, id)
	}
	return j.stored.GetItems()[index].GetBody(), nil
}

// Expired returns the jobs that have no open items and were submitted before the given time, and the markers of such
// a time whose move is confirmed.
func (m *Machine) Expired(beforeUnixMs int64) []string {
	var expired []string
	for id, j := range m.jobs {
		if j.mayDrop() && !j.open() && j.stored.GetSubmittedUnixMs() < beforeUnixMs {
			expired = append(expired, id)
		}
	}
	return expired
}
