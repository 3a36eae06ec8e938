package contact_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/store/contact"
)

// interval is the time between observations, and heartbeats come as often.
const interval = 50 * time.Millisecond

// follower is a replica whose contact is observed.
type follower struct {
	contact.Contact
	status *rockwindpb.GroupStatus
	now    time.Duration
}

// newFollower returns a follower that has been in contact with its leader for a while.
func newFollower() *follower {
	f := &follower{status: &rockwindpb.GroupStatus{
		Term: 3, Leader: 7, Voter: true, HearsLeader: true, Applied: 10, AppliedTerm: 3, Commit: 10, NewestCommit: 10,
	}}
	f.observe(time.Second, true)
	return f
}

// observe lets time pass, with or without messages of the leader.
func (f *follower) observe(duration time.Duration, heard bool) {
	for end := f.now + duration; f.now < end; {
		f.now += interval
		if heard {
			f.status.LeaderMessages++
		}
		f.Observe(proto.CloneOf(f.status), f.now)
	}
}

func (f *follower) current() bool { return f.Current(f.status, f.now) }

// Guards against answers of a follower that may lack results of more than a second ago, and against
// followers that never answer.
func TestOnlyFollowersInContactAreCurrent(t *testing.T) {
	for name, each := range map[string]struct {
		change func(f *follower)
		want   bool
	}{
		"in contact":             {func(*follower) {}, true},
		"not observed":           {func(f *follower) { f.Contact = contact.Contact{} }, false},
		"new":                    {func(f *follower) { f.Contact = contact.Contact{}; f.observe(contact.MinDuration-interval, true) }, false},
		"partitioned":            {func(f *follower) { f.observe(contact.MaxSilence, false) }, false},
		"short silence":          {func(f *follower) { f.observe(contact.MaxSilence-2*interval, false) }, true},
		"behind in the log":      {func(f *follower) { f.status.NewestCommit = 11 }, false},
		"behind in applying":     {func(f *follower) { f.status.Commit, f.status.NewestCommit = 12, 12 }, false},
		"leader is unknown":      {func(f *follower) { f.status.Leader = 0 }, false},
		"another leader":         {func(f *follower) { f.status.Term, f.status.Leader, f.status.AppliedTerm = 4, 8, 4 }, false},
		"removed":                {func(f *follower) { f.status.Voter = false }, false},
		"leader without a term":  {func(f *follower) { f.status.AppliedTerm = 2 }, false},
		"no commit index":        {func(f *follower) { f.status.NewestCommit = 0 }, false},
		"process was stopped":    {func(f *follower) { f.now += contact.MaxSilence + interval }, false},
		"a message after a stop": {func(f *follower) { f.now += time.Minute; f.observe(interval, true) }, false},
		"old messages after a stop": {func(f *follower) {
			f.now += time.Minute
			f.observe(3*interval, true)
			f.observe(contact.MaxSilence, false)
			f.observe(3*interval, true)
		}, false},
		"contact after a stop": {func(f *follower) { f.now += time.Minute; f.observe(contact.MinDuration+2*interval, true) }, true},
	} {
		f := newFollower()
		each.change(f)
		if got := f.current(); got != each.want {
			t.Errorf("%s: current is %v", name, got)
		}
	}
}

// Guards against a follower that answers for a former leader: after a change it needs an entry of the new
// term and the same time as after a start.
func TestNewLeaderStartsANewContact(t *testing.T) {
	f := newFollower()
	f.status.Term, f.status.Leader = 4, 8
	f.observe(2*time.Second, true)
	if f.current() {
		t.Error("a follower without an entry of the term is current")
	}
	f.status.Applied, f.status.AppliedTerm, f.status.NewestCommit = 11, 4, 11
	if !f.current() {
		t.Error("a follower in contact with a new leader is not current")
	}
}
