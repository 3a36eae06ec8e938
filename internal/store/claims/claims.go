// Package claims keeps which items of a shard its leader has in hand, so that no
// item is in hand twice. A claim is made before an item is tried, and lasts until
// the item may be tried again or its result is recorded. It is pure: whoever holds
// a table calls it from one goroutine.
//
// Invariant: of all claims ever made on an item at most one is current, and only
// the current one can release the item or decide its outcome. A claim that was
// dropped with its leadership stays dropped, also where the same replica leads
// again in the same term because its lease lapsed for a moment only.
package claims

// Key names an item by its job and its place there.
type Key struct {
	job   string
	index uint32
}

// NewKey returns the key of an item.
func NewKey(job string, index uint32) Key { return Key{job: job, index: index} }

// Job is the identifier of the item's job.
func (k Key) Job() string { return k.job }

// Index is the item's place in its job.
func (k Key) Index() uint32 { return k.index }

// Claim is one claim on an item.
type Claim struct {
	key    Key
	number uint64
}

// Key names the item of the claim.
func (c Claim) Key() Key { return c.key }

// held is a current claim with what ends its try.
type held struct {
	number uint64
	cancel func()
}

// Table holds the current claims of one shard.
type Table struct {
	last    uint64
	current map[Key]held
}

// NewTable returns a table without claims.
func NewTable() *Table { return &Table{current: make(map[Key]held)} }

// Acquire claims an item that nobody holds; ok is false where it is held.
// The function ends the item's try early.
func (t *Table) Acquire(key Key, cancel func()) (claim Claim, ok bool) {
	if t.Held(key) {
		return Claim{}, false
	}
	t.last++
	t.current[key] = held{number: t.last, cancel: cancel}
	return Claim{key: key, number: t.last}, true
}

// Held tells whether an item is claimed.
func (t *Table) Held(key Key) bool {
	_, found := t.current[key]
	return found
}

// Current tells whether a claim still holds its item.
func (t *Table) Current(claim Claim) bool {
	found, known := t.current[claim.key]
	return known && found.number == claim.number
}

// Release gives an item up; it does nothing for a claim that is not current.
func (t *Table) Release(claim Claim) {
	if t.Current(claim) {
		delete(t.current, claim.key)
	}
}

// Cancel ends the tries of the items for which unwanted is true. Their claims last
// until their ends arrive.
func (t *Table) Cancel(unwanted func(Key) bool) {
	for key, each := range t.current {
		if unwanted(key) {
			each.cancel()
		}
	}
}

// Drop ends all tries and drops all claims.
func (t *Table) Drop() {
	for _, each := range t.current {
		each.cancel()
	}
	clear(t.current)
}

// Len is the number of claimed items.
func (t *Table) Len() int { return len(t.current) }
