package requestrate

// rememberedQuestions is how many of a router's latest questions about a tenant are
// remembered. A router has fewer without an answer at a time.
const rememberedQuestions = 64

// questions remembers which of a router's questions about a tenant were counted, and which
// came. It costs some tens of bytes for each router at which the tenant was seen within idleFor.
type questions struct {
	life    int64
	counted numbers
	came    numbers
}

// numbers is a set of the latest numbers.
type numbers struct {
	// newest is the highest number added; bit i of mask tells whether newest - i was.
	newest uint64
	mask   uint64
}

// has tells whether a number was added. Of one that is too old to be remembered it is not
// known, and false.
func (q *numbers) has(number uint64) bool {
	return number <= q.newest && !q.forgotten(number) && q.mask&(1<<(q.newest-number)) != 0
}

// forgotten tells whether a number is too old to be remembered.
func (q *numbers) forgotten(number uint64) bool {
	return number <= q.newest && q.newest-number >= rememberedQuestions
}

func (q *numbers) add(number uint64) {
	if number > q.newest {
		q.mask = shifted(q.mask, number-q.newest)
		q.newest = number
	}
	if age := q.newest - number; age < rememberedQuestions {
		q.mask |= 1 << age
	}
}

func (q *numbers) remove(number uint64) {
	q.mask &^= 1 << (q.newest - number)
}

func shifted(mask, by uint64) uint64 {
	if by >= rememberedQuestions {
		return 0
	}
	return mask << by
}

// questionsOf returns what is remembered of the router that asks; a new life of its process
// numbers its questions anew.
func (b *bucket) questionsOf(request Request) *questions {
	known := b.asked[request.router]
	if known == nil || known.life != request.life {
		known = &questions{life: request.life}
		b.asked[request.router] = known
	}
	return known
}

// comes tells whether the question comes for the first time, and notes that it came. One that
// is too old to be remembered is taken for one that came.
func (b *bucket) comes(request Request) bool {
	if request.question == 0 {
		return true
	}
	came := &b.questionsOf(request).came
	if came.has(request.question) || came.forgotten(request.question) {
		return false
	}
	came.add(request.question)
	return true
}

// counted tells whether the question was counted already. One that is too old to be
// remembered is taken for one that was not, so that the limit holds.
func (b *bucket) counted(request Request) bool {
	return request.question > 0 && b.questionsOf(request).counted.has(request.question)
}

// count counts the question of a request.
func (b *bucket) count(request Request) {
	b.level--
	if request.question > 0 {
		b.questionsOf(request).counted.add(request.question)
	}
}

// settle takes what the router tells of earlier questions: a request that it let through
// counts once, whether its question was granted here or never came; one that was granted and
// did not run counts nothing. What it gives back, and what it refused itself, is told with one
// question and counts with the first that comes of it.
func (b *bucket) settle(request Request) {
	if b.comes(request) {
		b.refused += float64(request.refused)
		b.level = min(b.limit.burst, b.level+float64(request.returned))
	}
	if len(request.passed)+len(request.withheld) == 0 {
		return
	}
	known := &b.questionsOf(request).counted
	for _, number := range request.passed {
		if !known.has(number) {
			b.level--
			known.add(number)
		}
	}
	for _, number := range request.withheld {
		if known.has(number) {
			b.level = min(b.limit.burst, b.level+1)
			known.remove(number)
		}
	}
}
