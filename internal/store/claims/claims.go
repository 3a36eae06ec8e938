// Package claims tracks the items of a shard that its leader is processing, so that no item is
// processed twice at the same time. A claim is acquired before an item is attempted and held
// until the item may be retried or its result is recorded. The package does no I/O, and a table
// is not safe for concurrent use.
//
// Invariant: at most one claim on an item is current, and only the current one can release the
// item or decide its outcome. Dropped claims stay invalid, even if the same replica leads again
// in the same term after its lease has lapsed.
package claims

// Key identifies an item by its job and its index in the job.
type Key struct {
	job   string
	index uint32
}

// NewKey returns the key of an item.
func NewKey(job string, index uint32) Key { return Key{job: job, index: index} }

// Job returns the identifier of the item's job.
func (k Key) Job() string { return k.job }

// Index returns the item's index in its job.
func (k Key) Index() uint32 { return k.index }

// Claim is a claim on an item.
type Claim struct {
	key    Key
	number uint64
}

// Key returns the key of the claimed item.
func (c Claim) Key() Key { return c.key }

// currentClaim is a current claim with the function that cancels its attempt.
type currentClaim struct {
	number uint64
	cancel func()
}

// Table holds the current claims of one shard.
type Table struct {
	last    uint64
	current map[Key]currentClaim
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{current: make(map[Key]currentClaim)} }

// Acquire claims an item; ok is false if it is already claimed. The table calls cancel to
// cancel the item's attempt.
func (t *Table) Acquire(key Key, cancel func()) (claim Claim, ok bool) {
	if t.Held(key) {
		return Claim{}, false
	}
	t.last++
	t.current[key] = currentClaim{number: t.last, cancel: cancel}
	return Claim{key: key, number: t.last}, true
}

// Held reports whether an item is claimed.
func (t *Table) Held(key Key) bool {
	_, found := t.current[key]
	return found
}

// HeldBy reports whether any item of a job is claimed.
func (t *Table) HeldBy(job string) bool {
	for key := range t.current {
		if key.job == job {
			return true
		}
	}
	return false
}

// Current reports whether a claim is current.
func (t *Table) Current(claim Claim) bool {
	found, known := t.current[claim.key]
	return known && found.number == claim.number
}

// Release releases the item of a current claim; other claims are ignored.
func (t *Table) Release(claim Claim) {
	if t.Current(claim) {
		delete(t.current, claim.key)
	}
}

// Cancel cancels the attempts of unwanted items. Their claims stay until they are released.
func (t *Table) Cancel(unwanted func(Key) bool) {
	for key, current := range t.current {
		if unwanted(key) {
			current.cancel()
		}
	}
}

// Drop cancels all attempts and drops all claims.
func (t *Table) Drop() {
	for _, current := range t.current {
		current.cancel()
	}
	clear(t.current)
}

// Len returns the number of claimed items.
func (t *Table) Len() int { return len(t.current) }
