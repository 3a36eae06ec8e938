package balance

// On a large site a process meets a server so rarely that each would have to lose a request to
// learn that it has gone dark: some servers are avoided on the word of other processes.
const (
	// accusers is how many other processes must take a server for failing before this one
	// avoids it: one may be wrong, or have bad luck with its own connections.
	accusers = 2
	// maximumAccused is the largest part of the servers that is avoided on the word of
	// others. Where more are accused all of them are slow, and avoiding some would only
	// press the rest.
	maximumAccused = 0.3
)

// fewAccused tells whether some of the members are accused, and few enough to be avoided.
func fewAccused(count, members int) bool {
	return count > 0 && float64(count) <= maximumAccused*float64(members)
}

// accused tells whether enough other processes take the server for failing.
func (l SharedLoad) accused() bool { return l.Suspects >= accusers }
