package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/singleflight"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

const (
	// askTimeout bounds a question to an address: a server that has just started answers
	// within a few milliseconds, and one whose report waits for the answer is not in use
	// before.
	askTimeout = 250 * time.Millisecond
	// askInterval is the time between questions to an address that has not told who is
	// there. Nobody waits for the answer: requests for the incarnation that has ended are
	// turned away at the address, and go on elsewhere.
	askInterval = time.Second
	// mostAsked bounds the addresses that are asked in one round. More are contested only
	// where many servers start again out of reach, and each round takes a part of them.
	mostAsked = 32
)

// Option adjusts a coordinator.
type Option func(*Coordinator)

// WithIdentifier has addresses asked where it is in doubt which incarnation has them. Without
// it the one that reports last counts as the newest.
func WithIdentifier(identifier site.Identifier) Option {
	return func(c *Coordinator) { c.identifier = identifier }
}

// identities asks addresses which incarnation is there.
type identities struct {
	asks singleflight.Group
	// asked is when the addresses of contests were last asked, zero for those that were not;
	// the keeper's own.
	asked map[string]time.Time
}

// admission returns the command for a report that would change the directory. An unknown
// incarnation at an address that another one may have is entered once the address was asked.
func (c *Coordinator) admission(view *rootView, report *rockwindpb.Server) *rockwindpb.DirectoryCommand {
	if c.identifier == nil {
		return &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: report}}
	}
	holders := view.directory.ConflictingWith(report)
	if len(holders) == 0 {
		return directory.ReportCommand(report, nil, directory.Identity{})
	}
	// Reports that were held back arrive together: one question serves them all. It tells of
	// the holders from before it was asked, and not of those that a later caller knows.
	shared, _, _ := c.identities.asks.Do(report.GetId(), func() (any, error) {
		return answered{identity: c.identify(view, report), holders: holders}, nil
	})
	answer, _ := shared.(answered)
	command := directory.ReportCommand(report, answer.holders, answer.identity)
	recordIdentity(append(slices.Clone(answer.holders), report), answer.identity, command)
	return command
}

// answered is what a question to an address found out, and about whom it was asked beside the
// incarnation that reported.
type answered struct {
	identity directory.Identity
	holders  []*rockwindpb.Server
}

// identify asks the address of a server who is there. It does not depend on the call that
// brought the report, since others may wait for the same answer.
func (c *Coordinator) identify(view *rootView, expected *rockwindpb.Server) directory.Identity {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	service, _ := view.catalog.Index().Service(expected.GetService())
	identity, err := c.identifier(ctx, expected, service.GetHealthPath())
	if err != nil {
		log.WithError(fault.From(err)).WithField("address", expected.GetAddress()).WithField("server", expected.GetId()).
			Debug("an address did not tell which server is there")
	}
	return identity
}

// settle asks, as the leader, the addresses of which several incarnations are not gone, and
// marks those as gone that were found to have ended.
func (c *Coordinator) settle(ctx context.Context, view *rootView, now time.Time) {
	if c.identifier == nil {
		return
	}
	var asks sync.WaitGroup
	for _, contest := range c.identities.due(view.directory.AddressConflicts(), now) {
		asks.Go(func() {
			identity := c.identify(view, contest[0])
			command := directory.ResolveConflict(contest, identity)
			recordIdentity(contest, identity, command)
			if command == nil {
				return
			}
			calling, cancel := context.WithTimeout(ctx, keepTimeout)
			defer cancel()
			if err := c.change(calling, command); err != nil {
				log.WithError(fault.From(err)).WithField("address", contest[0].GetAddress()).Info("the end of a server was not committed; the address is asked again")
			}
		})
	}
	asks.Wait()
}

// due returns the contests whose addresses are to be asked now, and remembers that they are.
// Where they are too many for one round, those go first that were not asked for longest.
func (i *identities) due(contests [][]*rockwindpb.Server, now time.Time) [][]*rockwindpb.Server {
	kept := make(map[string]time.Time)
	var due [][]*rockwindpb.Server
	for _, contest := range contests {
		address := contest[0].GetAddress()
		kept[address] = i.asked[address]
		if now.Sub(kept[address]) >= askInterval {
			due = append(due, contest)
		}
	}
	slices.SortStableFunc(due, func(a, b []*rockwindpb.Server) int {
		return kept[a[0].GetAddress()].Compare(kept[b[0].GetAddress()])
	})
	due = due[:min(len(due), mostAsked)]
	for _, contest := range due {
		kept[contest[0].GetAddress()] = now
	}
	i.asked = kept
	return due
}

// recordIdentity writes what an address was asked for and what followed.
func recordIdentity(incarnations []*rockwindpb.Server, identity directory.Identity, command *rockwindpb.DirectoryCommand) {
	var known []string
	for _, each := range incarnations {
		known = append(known, each.GetId())
	}
	ended := append(slices.Clone(command.GetSuccession().GetEnded()), command.GetLeave().GetId())
	decision.Default.Record(decision.AddressAsked, incarnations[0].GetAddress(), log.Fields{
		"incarnations": known, "found": identity.Found, "denied": identity.Rejected, "ended": slices.DeleteFunc(ended, isEmpty),
	})
}

func isEmpty(text string) bool { return text == "" }
