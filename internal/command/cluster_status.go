package command

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// clusterStatus is 'rockwind cluster status'.
type clusterStatus struct{}

// Help implements kong.HelpProvider.
func (*clusterStatus) Help() string {
	return `Asks every control machine given with --control, so give all of them. The last lines tell whether
everything that was acknowledged has all its copies again after a loss, so that a next machine may be
lost or replaced; if not, what is missing.`
}

// clusterState is the state of groups and bodies as reported by the control machines.
type clusterState struct {
	machines []machineState
	// copies is nil if no machine could count the copies.
	copies *rockwindpb.CopiesResponse
}

// clusterJSON is the JSON output.
type clusterJSON struct {
	// Repaired is true if nothing is missing.
	Repaired bool `json:"repaired"`
	// Missing describes what is missing, as text.
	Missing  []string      `json:"missing"`
	Copies   *messageJSON  `json:"copies,omitempty"`
	Machines []machineJSON `json:"machines"`
}

// Run prints one row for each group and machine, and what is missing for full
// redundancy.
func (*clusterStatus) Run(s *session) error {
	state, err := s.clusterState()
	if err != nil {
		return err
	}
	missing := state.missing()
	if s.printer.json {
		return s.printer.encode(state.json(missing))
	}
	listing := &table{header: []string{"GROUP", "MACHINE", "ADDRESS", "ROLE", "TERM", "LEADER", "COMMIT", "APPLIED", "LAST"}}
	for _, machine := range state.machines {
		addGroups(listing, machine)
	}
	if err := listing.write(s.printer.output); err != nil {
		return err
	}
	fmt.Fprintln(s.printer.output)
	if copies := state.copies; copies != nil {
		fmt.Fprintf(s.printer.output, "bodies: %d segments, the fewest copies are %d of %d\n",
			copies.GetSegments(), copies.GetFewestCopies(), copies.GetWantedCopies())
	}
	if len(missing) == 0 {
		fmt.Fprintln(s.printer.output, "repaired: yes, all copies are there")
		return nil
	}
	fmt.Fprintln(s.printer.output, "repaired: no")
	for _, each := range missing {
		fmt.Fprintln(s.printer.output, "  "+each)
	}
	return nil
}

// clusterState queries all control machines for their groups, and one after another for
// the copies of the bodies until one reports that none is missing. One such report is
// enough: a recently started machine may count copies as missing that belong to
// segments which were already removed.
func (s *session) clusterState() (*clusterState, error) {
	machines, err := s.queryMachines()
	if err != nil {
		return nil, err
	}
	peers, err := s.peers()
	if err != nil {
		return nil, err
	}
	state := &clusterState{machines: machines}
	for position, target := range peers {
		if machines[position].identity == nil {
			continue
		}
		counted, err := s.queryCopies(target)
		if err != nil {
			continue
		}
		if state.copies == nil || missesFewer(counted, state.copies) {
			state.copies = counted
		}
		if counted.GetRepaired() {
			break
		}
	}
	return state, nil
}

// missesFewer reports whether one response has less missing than the other.
func missesFewer(one, other *rockwindpb.CopiesResponse) bool {
	return cmp.Or(
		cmp.Compare(len(one.GetSilentMachines()), len(other.GetSilentMachines())),
		cmp.Compare(one.GetShortSegments(), other.GetShortSegments()),
	) < 0
}

func (s *session) queryCopies(target peer) (*rockwindpb.CopiesResponse, error) {
	ctx, cancel := context.WithTimeout(s.context, s.connection.Timeout)
	defer cancel()
	return target.segments.Copies(ctx, &rockwindpb.CopiesRequest{})
}

func (c *clusterState) json(missing []string) clusterJSON {
	result := clusterJSON{
		Repaired: len(missing) == 0,
		Missing:  append([]string{}, missing...),
		Machines: machinesJSON(c.machines),
	}
	if c.copies != nil {
		result.Copies = &messageJSON{c.copies}
	}
	return result
}

// missing lists the reasons why the cluster can't tolerate as many machine failures as
// it was configured for.
func (c *clusterState) missing() []string {
	var missing []string
	repaired := make(map[uint32]bool)
	for _, machine := range c.machines {
		if machine.identity == nil {
			missing = append(missing, fmt.Sprintf("the machine at %s does not answer: %s", machine.address, fault.From(machine.err).Message))
			continue
		}
		if len(machine.identity.GetGroups()) == 0 {
			missing = append(missing, machine.identity.GetMachine()+" is in no group")
		}
		for _, group := range machine.identity.GetGroups() {
			repaired[group.GetGroup()] = repaired[group.GetGroup()] || group.GetRepaired()
		}
	}
	for _, group := range sortedKeys(repaired) {
		if !repaired[group] {
			missing = append(missing, fmt.Sprintf("group %d has no leader that hears one voter on each of its machines", group))
		}
	}
	return append(missing, missingCopies(c.copies)...)
}

func missingCopies(copies *rockwindpb.CopiesResponse) []string {
	if copies == nil {
		return []string{"no machine could count the copies of the bodies"}
	}
	var missing []string
	for _, machine := range copies.GetSilentMachines() {
		missing = append(missing, machine+" does not tell which bodies it holds")
	}
	if copies.GetShortSegments() > 0 {
		missing = append(missing, fmt.Sprintf("%d segments of bodies lack %d bytes of copies", copies.GetShortSegments(), copies.GetMissingBytes()))
	}
	return missing
}

func sortedKeys[Value any](values map[uint32]Value) []uint32 {
	return slices.Sorted(maps.Keys(values))
}

func addGroups(listing *table, machine machineState) {
	if machine.identity == nil {
		listing.add("-", "-", machine.address, "no answer", "-", "-", "-", "-", "-")
		return
	}
	identity := machine.identity
	if len(identity.GetGroups()) == 0 {
		listing.add("-", identity.GetMachine(), machine.address, "in no group", "-", "-", "-", "-", "-")
	}
	for _, group := range identity.GetGroups() {
		listing.add(number(group.GetGroup()), identity.GetMachine(), machine.address, roleName(group.GetVoter(), group.GetLeader() == identity.GetDiskId()),
			number(group.GetTerm()), orDash(group.GetLeaderAddress()), number(group.GetCommit()), number(group.GetApplied()), number(group.GetLast()))
	}
}

func roleName(voter, leader bool) string {
	switch {
	case leader:
		return "leader"
	case voter:
		return "voter"
	default:
		return "learner"
	}
}
