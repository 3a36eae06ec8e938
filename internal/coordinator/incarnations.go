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
	// probeTimeout bounds a probe of an address. Servers answer within milliseconds of their
	// start, and a new one receives no requests until the probe for its report is over.
	probeTimeout = 250 * time.Millisecond
	// probeInterval is the time between probes of an address in conflict. Requests for a
	// terminated incarnation are rejected at the address and retried elsewhere, so that nothing
	// waits for the probe.
	probeInterval = time.Second
	// maxProbesPerRound bounds the probes of one maintenance round. More addresses are contested only if many
	// servers restart while they cannot be reached, and each round probes some of them.
	maxProbesPerRound = 32
)

// Option configures a coordinator.
type Option func(*Coordinator)

// WithIdentifier sets the function that probes an address for its incarnation. Without it, the
// last incarnation to report replaces the others.
func WithIdentifier(identifier site.Identifier) Option {
	return func(c *Coordinator) { c.identifier = identifier }
}

// addressProber probes addresses for the incarnation that is there.
type addressProber struct {
	inFlight singleflight.Group
	// lastProbed holds the times of the last probes of addresses in conflict, zero for those not
	// yet probed. Only the maintenance goroutine uses it.
	lastProbed map[string]time.Time
}

// reportCommand returns the command for a report that changes the directory. It probes the address
// if another incarnation may be there.
func (c *Coordinator) reportCommand(view *rootView, report *rockwindpb.Server) *rockwindpb.DirectoryCommand {
	if c.identifier == nil {
		return &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: report}}
	}
	conflicting := view.directory.ConflictingWith(report)
	if len(conflicting) == 0 {
		return directory.ReportCommand(report, nil, directory.Identity{})
	}
	// Concurrent reports share one probe. Its result applies to the incarnations known before
	// the probe, not to those that a later caller knows.
	shared, _, _ := c.prober.inFlight.Do(report.GetId(), func() (any, error) {
		return probeResult{identity: c.probe(view, report), conflicting: conflicting}, nil
	})
	result, _ := shared.(probeResult)
	report = withColdTime(view, report, result.identity)
	command := directory.ReportCommand(report, result.conflicting, result.identity)
	recordProbe(append(slices.Clone(result.conflicting), report), result.identity, command)
	return command
}

// probeResult is the result of a probe and the other incarnations known before it.
type probeResult struct {
	identity    directory.Identity
	conflicting []*rockwindpb.Server
}

// probe asks the address of a server which incarnation is there. It is independent of the
// caller's context, since concurrent callers share the result.
func (c *Coordinator) probe(view *rootView, expected *rockwindpb.Server) directory.Identity {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	service, _ := view.catalog.Index().Service(expected.GetService())
	identity, err := c.identifier(ctx, expected, service.GetHealthPath())
	if err != nil {
		log.WithError(fault.From(err)).WithField("address", expected.GetAddress()).WithField("server", expected.GetId()).
			Debug("probe of a server address failed")
	}
	c.observeIdentity(view, identity)
	return identity
}

// resolveConflicts probes, as the leader, the addresses with several incarnations that are not
// gone, and marks those that have ended as gone.
func (c *Coordinator) resolveConflicts(ctx context.Context, view *rootView, now time.Time) {
	if c.identifier == nil {
		return
	}
	var probes sync.WaitGroup
	for _, conflict := range c.prober.takeDue(view.directory.AddressConflicts(), now) {
		probes.Go(func() {
			identity := c.probe(view, conflict[0])
			command := directory.ResolveConflict(conflict, identity)
			recordProbe(conflict, identity, command)
			if command == nil {
				return
			}
			callCtx, cancel := context.WithTimeout(ctx, maintenanceCallTimeout)
			defer cancel()
			if err := c.commitOnLeader(callCtx, command); err != nil {
				log.WithError(fault.From(err)).WithField("address", conflict[0].GetAddress()).Info("failed to commit the end of a server; the address will be probed again")
			}
		})
	}
	probes.Wait()
}

// takeDue returns the conflicts to probe now and records the time of the probe. The least recently
// probed go first.
func (p *addressProber) takeDue(conflicts [][]*rockwindpb.Server, now time.Time) [][]*rockwindpb.Server {
	probedAt := make(map[string]time.Time)
	var due [][]*rockwindpb.Server
	for _, conflict := range conflicts {
		address := conflict[0].GetAddress()
		probedAt[address] = p.lastProbed[address]
		if now.Sub(probedAt[address]) >= probeInterval {
			due = append(due, conflict)
		}
	}
	slices.SortStableFunc(due, func(a, b []*rockwindpb.Server) int {
		return probedAt[a[0].GetAddress()].Compare(probedAt[b[0].GetAddress()])
	})
	due = due[:min(len(due), maxProbesPerRound)]
	for _, conflict := range due {
		probedAt[conflict[0].GetAddress()] = now
	}
	p.lastProbed = probedAt
	return due
}

// recordProbe records a probe and its effect in the decision log.
func recordProbe(incarnations []*rockwindpb.Server, identity directory.Identity, command *rockwindpb.DirectoryCommand) {
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
