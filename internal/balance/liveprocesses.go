package balance

import "slices"

// LiveProcesses estimates how many of the listed processes are running, this one included: those whose
// digests, or whose delegates' sums, arrived within senderTTL. groupSize is how many of them are in the
// group of this process. Where a delegate sends no count of the other groups, the same fraction as in the own
// group is assumed to be running. It returns zero while no digest is held.
func (s *SharedLoads) LiveProcesses(listed, groupSize int) int {
	if !s.HasPeers() {
		return 0
	}
	live, elsewhere, knowsElsewhere := s.processes+1, 0, true
	for _, held := range s.senders {
		switch {
		case s.zone != "" && s.sumsOwnGroup(held):
			// The sum includes this process.
			live--
		case held.allButGroup:
			elsewhere += held.members
			knowsElsewhere = knowsElsewhere && (held.members > 0 || held.counts)
		}
	}
	if !knowsElsewhere && groupSize > 0 {
		return max(1, listed*(live-elsewhere)/groupSize)
	}
	return live
}

// ProcessesOf returns how many processes the digests of the named processes and groups cover.
func (s *SharedLoads) ProcessesOf(names, groups []string) int {
	covered := 0
	for name, held := range s.senders {
		if slices.Contains(names, name) || (held.group != "" && !held.allButGroup && slices.Contains(groups, held.group)) {
			covered += held.members
		}
	}
	return covered
}

// ProcessesElsewhere returns how many processes of groups other than the given one the digests cover.
func (s *SharedLoads) ProcessesElsewhere(group string) int {
	covered := 0
	for _, held := range s.senders {
		if held.group != "" && (held.group == group) == held.allButGroup {
			covered += held.members
		}
	}
	return covered
}

// SetProcessesElsewhere sets how many processes the sum of the other groups of a delegate covers. Zero is
// sent by delegates that count none and by those of earlier versions, which don't count. A delegate that
// sent a count since its start counts: its zero means that all other groups are lost.
func (s *SharedLoads) SetProcessesElsewhere(delegate string, members int) {
	if held := s.senders["elsewhere of "+delegate]; held != nil {
		s.processes += members - held.members
		held.members = members
		held.counts = held.counts || members > 0
	}
}
