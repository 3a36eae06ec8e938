package requestrate

// sequenceWindow is how many of a router's latest sequence numbers for a tenant are remembered.
// Routers have fewer requests in flight per tenant.
const sequenceWindow = 64

// sequences records which of a router's sequence numbers for a tenant were received and which of
// them were charged. It takes some tens of bytes per router that used the tenant within idleTimeout.
type sequences struct {
	routerStarted int64
	charged       sequenceSet
	received      sequenceSet
}

// sequenceSet is a set of the latest sequence numbers.
type sequenceSet struct {
	// newest is the highest number added. Bit i of mask is set if newest - i is in the set.
	newest uint64
	mask   uint64
}

// contains reports whether a number was added. It is false for expired numbers.
func (s *sequenceSet) contains(number uint64) bool {
	return number <= s.newest && !s.expired(number) && s.mask&(1<<(s.newest-number)) != 0
}

// expired reports whether a number is too old to be in the set.
func (s *sequenceSet) expired(number uint64) bool {
	return number <= s.newest && s.newest-number >= sequenceWindow
}

func (s *sequenceSet) add(number uint64) {
	if number > s.newest {
		s.mask = shiftLeft(s.mask, number-s.newest)
		s.newest = number
	}
	if age := s.newest - number; age < sequenceWindow {
		s.mask |= 1 << age
	}
}

func (s *sequenceSet) remove(number uint64) {
	s.mask &^= 1 << (s.newest - number)
}

func shiftLeft(mask, by uint64) uint64 {
	if by >= sequenceWindow {
		return 0
	}
	return mask << by
}

// sequencesOf returns the state of the router that sent a request. A restarted router starts a new
// sequence.
func (b *bucket) sequencesOf(request Request) *sequences {
	known := b.sequences[request.router]
	if known == nil || known.routerStarted != request.routerStarted {
		known = &sequences{routerStarted: request.routerStarted}
		b.sequences[request.router] = known
	}
	return known
}

// firstReceipt records that a sequence number was received and reports whether that was the first
// time. An expired number counts as received before.
func (b *bucket) firstReceipt(request Request) bool {
	if request.sequence == 0 {
		return true
	}
	received := &b.sequencesOf(request).received
	if received.contains(request.sequence) || received.expired(request.sequence) {
		return false
	}
	received.add(request.sequence)
	return true
}

// isCharged reports whether the request was charged before. An expired number counts as not
// charged, so that the limit holds.
func (b *bucket) isCharged(request Request) bool {
	return request.sequence > 0 && b.sequencesOf(request).charged.contains(request.sequence)
}

// charge charges a request.
func (b *bucket) charge(request Request) {
	b.level--
	if request.sequence > 0 {
		b.sequencesOf(request).charged.add(request.sequence)
	}
}

// reconcile applies what the router reports about earlier requests. One that it passed is charged
// once, whether it was granted here or never arrived; one that was granted but withheld is
// refunded. Returned and refused counts are applied only at the first receipt of the request
// that carries them.
func (b *bucket) reconcile(request Request) {
	if b.firstReceipt(request) {
		b.refused += float64(request.refused)
		b.level = min(b.limit.burst, b.level+float64(request.returned))
	}
	if len(request.passed)+len(request.withheld) == 0 {
		return
	}
	known := &b.sequencesOf(request).charged
	for _, number := range request.passed {
		if !known.contains(number) {
			b.level--
			known.add(number)
		}
	}
	for _, number := range request.withheld {
		if known.contains(number) {
			b.level = min(b.limit.burst, b.level+1)
			known.remove(number)
		}
	}
}
