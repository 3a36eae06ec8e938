package pace

const (
	// usualWeight is the weight of one run in the running means, and firstRuns how many
	// count alike before.
	usualWeight = 0.02
	firstRuns   = 1 / usualWeight
	// mostSurprise bounds a run as a multiple of what was expected, so that a few servers
	// that are many times slower do not become what is usual.
	mostSurprise = 3.0
	// leastSpread is the variance of how many ran beside that tells how much each of them
	// costs.
	leastSpread = 0.5
)

// usual learns how long an event takes by how many requests run beside: a line through the
// weighted means. The zero value knows nothing.
type usual struct {
	runs float64
	// Means of how many ran, of the time of an event, and of their products.
	meanBeside, meanEvent, squares, products float64
}

// event is how long an event is expected to take beside so many, zero while nothing is known.
func (u *usual) event(beside int) float64 {
	spread := u.squares - u.meanBeside*u.meanBeside
	if spread < leastSpread {
		return u.meanEvent
	}
	slope := max(0, (u.products-u.meanBeside*u.meanEvent)/spread)
	return max(u.meanEvent+slope*(float64(beside)-u.meanBeside), u.meanEvent/mostSurprise)
}

// add takes how long an event of a run took.
func (u *usual) add(beside int, event float64) {
	if expected := u.event(beside); expected > 0 {
		event = min(event, mostSurprise*expected)
	}
	u.runs = min(u.runs+1, firstRuns)
	weight, ran := 1/u.runs, float64(beside)
	u.meanBeside += weight * (ran - u.meanBeside)
	u.meanEvent += weight * (event - u.meanEvent)
	u.squares += weight * (ran*ran - u.squares)
	u.products += weight * (ran*event - u.products)
}
