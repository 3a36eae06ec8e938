package balance

// On a large site a process sends to each server so rarely that it would have to lose a request to
// each failed server to detect it. Servers are therefore also avoided when other processes suspect
// them.
const (
	// suspicionQuorum is how many other processes must consider a server failing before this
	// one avoids it. A single process may have trouble with its own connections.
	suspicionQuorum = 2
	// maxSuspectedFraction is the largest fraction of the servers that is avoided because of other
	// processes' suspicion. Above it all servers are likely slow, and avoiding some would overload
	// the rest.
	maxSuspectedFraction = 0.3
)

// fewSuspected reports whether some of the members are suspected, but few enough to be avoided.
func fewSuspected(count, members int) bool {
	return count > 0 && float64(count) <= maxSuspectedFraction*float64(members)
}

// suspectedByPeers reports whether enough other processes consider the server failing.
func (l SharedLoad) suspectedByPeers() bool { return l.Suspects >= suspicionQuorum }
