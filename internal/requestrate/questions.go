package requestrate

// rememberedQuestions is how many of a router's latest questions about a tenant are
// remembered. A router has fewer without an answer at a time.
const rememberedQuestions = 64

// questions remembers which of a router's questions about a tenant were counted. It costs some
// tens of bytes for each router at which the tenant was seen within idleFor.
type questions struct {
	life int64
	// newest is the highest number counted; bit i of mask tells whether newest - i was.
	newest uint64
	mask   uint64
}

// counted tells whether a question was counted. Of one that is too old to be remembered it is
// not known; it is taken for one that was not, so that the limit holds.
func (q *questions) counted(number uint64) bool {
	return number <= q.newest && q.newest-number < rememberedQuestions && q.mask&(1<<(q.newest-number)) != 0
}

func (q *questions) add(number uint64) {
	if number > q.newest {
		q.mask = shifted(q.mask, number-q.newest)
		q.newest = number
	}
	if age := q.newest - number; age < rememberedQuestions {
		q.mask |= 1 << age
	}
}

func (q *questions) remove(number uint64) {
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

// counted tells whether the question was counted already.
func (b *bucket) counted(request Request) bool {
	return request.question > 0 && b.questionsOf(request).counted(request.question)
}

// count counts the question of a request.
func (b *bucket) count(request Request) {
	b.level--
	if request.question > 0 {
		b.questionsOf(request).add(request.question)
	}
}

// settle takes what the router tells of earlier questions: a request that it let through
// counts once, whether its question was granted here or never came; one that was granted and
// did not run counts nothing.
func (b *bucket) settle(request Request) {
	b.level = min(b.limit.burst, b.level+float64(request.returned))
	if len(request.passed)+len(request.withheld) == 0 {
		return
	}
	known := b.questionsOf(request)
	for _, number := range request.passed {
		if !known.counted(number) {
			b.level--
			known.add(number)
		}
	}
	for _, number := range request.withheld {
		if known.counted(number) {
			b.level = min(b.limit.burst, b.level+1)
			known.remove(number)
		}
	}
}
