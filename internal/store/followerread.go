package store

import (
	"context"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/store/contact"
	"rockwind.example/rockwind/internal/suspension"
)

const (
	// contactInterval is the time between observations of the contact with leaders. Heartbeats come
	// every 60 ms.
	contactInterval = 50 * time.Millisecond
	// staleRetryAfter is the advice to callers of a follower that has no contact with its leader. A new
	// contact takes contact.MinDuration.
	staleRetryAfter = contact.MinDuration
	// notReplicatedRetryAfter is the advice to callers of a store that does not replicate a shard. It
	// may join the shard later.
	notReplicatedRetryAfter = 5 * time.Second
)

// contacts tracks the contact of the shards' replicas with their leaders. It is not used on sites with
// one region.
type contacts struct {
	started time.Time
	mutex   sync.Mutex
	shards  map[uint32]*contact.Contact
}

func newContacts() *contacts {
	return &contacts{started: time.Now(), shards: make(map[uint32]*contact.Contact)}
}

// now returns the time for contact.Contact. The monotonic clock stops while the machine is suspended.
func (c *contacts) now() time.Duration { return time.Since(c.started) + suspension.Total() }

// observe records the status of a shard's replica.
func (c *contacts) observe(number uint32, status *rockwindpb.GroupStatus) {
	now := c.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.shards[number]
	if known == nil {
		known = &contact.Contact{}
		c.shards[number] = known
	}
	known.Observe(status, now)
}

// current reports whether the replica of a shard may answer reads; see contact.Contact.
func (c *contacts) current(number uint32, status *rockwindpb.GroupStatus) bool {
	now := c.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.shards[number]
	return known != nil && known.Current(status, now)
}

// followLeaders observes the contact of all replicas of this store with their leaders.
func (s *Store) followLeaders(ctx context.Context) {
	if !s.regions.MultiRegion() {
		return
	}
	for retry.Pause(ctx, contactInterval) {
		for _, number := range s.host.Groups() {
			if group, running := s.host.Group(number); running {
				s.contacts.observe(number, group.Status())
			}
		}
	}
}

// followerResults returns the current results of a job in the state of a follower. If the follower is
// not in contact with its leader or its state lacks the job, it fails like a store that does not lead.
func (s shard) followerResults(ctx context.Context, request *rockwindpb.ReadStoredJobRequest, known *contacts) (*rockwindpb.ReadStoredJobResponse, error) {
	status := s.group.Status()
	var response *rockwindpb.ReadStoredJobResponse
	var failure error
	err := s.group.ReadLocal(ctx, func() {
		response, failure = s.machine.Read(request.GetId(), request.GetTenant(), request.GetFrom(), readBytes(request))
	})
	switch {
	case err != nil:
		return nil, notRunUnlessUnknown(err)
	case !known.current(s.number, status):
		// The contact is checked after the read, so that a pause of the process in between is noticed.
		return nil, notCurrent(status).WithRetryAfter(staleRetryAfter)
	case failure != nil:
		// The leader may have accepted the job since, so the job must not be reported as unknown.
		return nil, notCurrent(status)
	}
	return response, nil
}

func notCurrent(status *rockwindpb.GroupStatus) *fault.Fault {
	return fault.Newf(fault.NotLeader, "ask the leader", "this store does not lead shard %d and can't answer for its leader", status.GetGroup()).
		WithLeader(status.GetLeaderAddress()).WithRan(fault.NotRun)
}
