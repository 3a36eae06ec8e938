package coordinator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/suspension"
)

// permitLifetime bounds the time from the issue of a permit until its command is proposed.
const permitLifetime = time.Second

// commandSequence orders the commands of operators that this coordinator proposes as the leader. A
// command needs a permit, which is outdated once another command was proposed, so that a call that
// arrives late has no effect. Permits are not replicated: another leader accepts none of this one, and what
// this one proposed precedes in the log what the other proposes. The zero value is ready to use, and its
// methods are safe for concurrent use.
type commandSequence struct {
	once    sync.Once
	issuer  uint64
	started time.Time
	// slot is held while a command is committed. It guards proposed.
	slot     chan struct{}
	proposed uint64
}

func (s *commandSequence) init() {
	s.once.Do(func() {
		s.issuer, s.started, s.slot = max(1, rand.Uint64()), time.Now(), make(chan struct{}, 1)
	})
}

// now returns the time since the first use, with suspensions of the machine.
func (s *commandSequence) now() time.Duration { return time.Since(s.started) + suspension.Total() }

// acquire waits until no other command is committed.
func (s *commandSequence) acquire(ctx context.Context) error {
	s.init()
	select {
	case s.slot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fault.New(fault.Unavailable, "the leader is committing another command", "repeat the command").WithRan(fault.NotRun)
	}
}

func (s *commandSequence) release() { <-s.slot }

// issue returns a permit for the next command.
func (s *commandSequence) issue(ctx context.Context) (*rockwindpb.CommandPermit, error) {
	if err := s.acquire(ctx); err != nil {
		return nil, err
	}
	defer s.release()
	return &rockwindpb.CommandPermit{Issuer: s.issuer, Sequence: s.proposed, IssuedMs: s.now().Milliseconds()}, nil
}

// propose calls commit unless the permit is outdated, for which it returns fault.Stale. Coordinators of an earlier
// version send no permit.
func (s *commandSequence) propose(ctx context.Context, permit *rockwindpb.CommandPermit, commit func() error) error {
	if err := s.acquire(ctx); err != nil {
		return err
	}
	defer s.release()
	if permit.GetIssuer() != 0 && !s.valid(permit) {
		return fault.New(fault.Stale, "another command was proposed since this one was permitted, or it took too long",
			"repeat the command").WithRan(fault.NotRun)
	}
	s.proposed++
	return commit()
}

func (s *commandSequence) valid(permit *rockwindpb.CommandPermit) bool {
	age := s.now() - time.Duration(permit.GetIssuedMs())*time.Millisecond
	return permit.GetIssuer() == s.issuer && permit.GetSequence() == s.proposed && age <= permitLifetime
}

// issuePermit returns a permit of the leader for the next command.
func (c *Coordinator) issuePermit(ctx context.Context) (*rockwindpb.CommandPermit, error) {
	elsewhere := func(ctx context.Context, base string) (*rockwindpb.CommandPermit, error) {
		permit, err := c.zoneDrainsAt(base).IssuePermit(ctx, &rockwindpb.IssuePermitRequest{})
		if isUnknownMethod(err) {
			// A coordinator of an earlier version checks no permits.
			return &rockwindpb.CommandPermit{}, nil
		}
		return permit, err
	}
	if c.isNonMember() {
		return forwardToLeader(ctx, c, forwardTimeout, elsewhere)
	}
	return callOnLeader(ctx, c, func() (*rockwindpb.CommandPermit, error) { return c.commands.issue(ctx) }, elsewhere)
}

// isUnknownMethod reports whether the called process does not have the method.
func isUnknownMethod(err error) bool {
	var remote twirp.Error
	return errors.As(err, &remote) && remote.Code() == twirp.BadRoute
}
