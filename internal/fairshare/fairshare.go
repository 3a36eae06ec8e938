// Package fairshare keeps how much of a service each tenant has had lately, so that the
// requests of one priority which compete for too little room share it by work, not by
// arrival. It answers a flood: one tenant sends many times its usual through all routers of
// a site, and in the order of arrival the others would wait behind it in each of them.
//
// The virtual time of a tenant is the work that was begun for it within the last Memory or
// so, by this process and, as they tell, by all others, over the tenant's weight. Of the
// tenants that wait, the one with the least virtual time goes first. So a tenant that asks for
// less than its share does not wait for those that ask for more, what it leaves goes to
// whoever asks, and one that was quiet gains the share of one Memory and no more. A process
// that starts anew knows nothing of its own, but what the others tell goes on.
//
// The package is pure: time is an argument, as a duration since an origin of the caller's
// choice.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DecayTime is the time constant by which work is forgotten: several times as long as a
	// digest needs to all processes of a large site (some 300 ms), so that what the others
	// tell is not old beside it, and no longer, so that a tenant that was quiet cannot hold
	// up the others for more than a moment.
	DecayTime = time.Second
	// MaxEntries is of how many tenants of one class a process tells at most: the few that had
	// the most. With 250 routers of three zones, the sum of two zones is 670 entries of some 11
	// bytes, 7 KB beside those of the servers, even where no two routers tell of the same. Where
	// that is too long for a datagram, the tenants are left out (package loadshare).
	MaxEntries = 4
	// leastWork is the work in tokens below which a tenant is forgotten: a request of 400
	// tokens is, after six seconds.
	leastWork = 1.0
	// totalFor is how long a sum with what the others tell is used again: a queue looks at
	// each request that waits for each that leaves, and digests come some ten times a second.
	totalFor = 2 * time.Millisecond
	// sweepInterval is the time between looks for tenants to forget.
	sweepInterval = time.Second
)

// scarceFrom is how long all that waits has to need before tenants share: a third of the
// shortest objectives. While it needs less, all can be in time in the order of arrival, and
// sharing would only have the large tenants wait for each peak of a second that has room
// for all: at four fifths of the room 0.90 of their requests were in time then, with this
// bound 1.00 (TestFloodOfOneTenantDoesNotMakeOthersLate).
const scarceFrom = 100 * time.Millisecond

// Overloaded tells whether there is too little room, given how long all servers need for what
// waits.
func Overloaded(needed time.Duration) bool { return needed > scarceFrom }

// modestPart is the part of what another tenant had below which a tenant is modest: its requests
// do not wait until slots are left that those of the other one have taken. Of two tenants that
// ask for alike much neither is.
const modestPart = 0.5

// Hash is the short name of a tenant's class in load digests: the requests in flight there are
// those that wait, the tokens to read the work that was begun lately.
func Hash(class, tenant string) uint32 {
	return uint32(xxhash.Sum64String("share of " + tenant + " in " + class))
}

// RemoteUsage is what the other processes tell of a tenant.
type RemoteUsage struct {
	// Waiting is how many of its requests wait there.
	Waiting int
	// Work is the work that they began for it lately.
	Work int
}

// account is the work of one tenant at a time.
type account struct {
	hash uint32
	work float64
	at   time.Duration
	// total is the work here and elsewhere of the time totalAt.
	total   float64
	totalAt time.Duration
}

func (a *account) workAt(now time.Duration) float64 {
	return a.work * math.Exp(-max(0, now-a.at).Seconds()/DecayTime.Seconds())
}

// Ledger holds the work that one process began for the tenants of one class: the requests of
// one priority for one service. It holds those of the last seconds only, some 100 bytes each.
// It belongs to one goroutine at a time.
type Ledger struct {
	class    string
	told     func(hash uint32) RemoteUsage
	accounts map[string]*account
	swept    time.Duration
	// most is the highest virtual time of the time mostAt.
	most   float64
	mostAt time.Duration
}

// NewLedger returns an empty ledger of the named class; told looks up what the other
// processes tell.
func NewLedger(class string, told func(hash uint32) RemoteUsage) *Ledger {
	return &Ledger{class: class, told: told, accounts: make(map[string]*account), mostAt: -totalFor}
}

// Charge notes that work in tokens begins for a tenant.
func (l *Ledger) Charge(tenant string, work float64, now time.Duration) {
	l.sweep(now)
	known := l.account(tenant)
	known.work, known.at = known.workAt(now)+work, now
	known.totalAt = -totalFor
}

// Refund takes back work that was begun for a tenant at a time and did not run after all: what
// is left of it by now.
func (l *Ledger) Refund(tenant string, work float64, began, now time.Duration) {
	known := l.accounts[tenant]
	if known == nil {
		return
	}
	left := (&account{work: work, at: began}).workAt(now)
	known.work, known.at = max(0, known.workAt(now)-left), now
	known.totalAt = -totalFor
}

// VirtualTime is the virtual time of a tenant with the given weight; a weight of zero is one.
func (l *Ledger) VirtualTime(tenant string, weight uint32, now time.Duration) float64 {
	known := l.account(tenant)
	if now-known.totalAt >= totalFor {
		known.total, known.totalAt = known.workAt(now)+float64(l.told(known.hash).Work), now
	}
	return known.total / float64(max(1, weight))
}

// RemoteWaitingBehind is how many requests wait at other processes, as they tell, of tenants that come
// after one with the given virtual time: all known here that had more, with their weights.
func (l *Ledger) RemoteWaitingBehind(virtual float64, weight func(tenant string) uint32, now time.Duration) int {
	behind := 0
	for tenant, known := range l.accounts {
		told := l.told(known.hash)
		if told.Waiting > 0 && l.VirtualTime(tenant, weight(tenant), now) > virtual {
			behind += told.Waiting
		}
	}
	return behind
}

// MaxVirtualTime is the highest virtual time among the tenants that wait here or elsewhere. Under a
// lasting lack of room it is what each tenant that asks for more than its share gets of a
// Memory, by unit of weight. Work is the most that any tenant had, also one that does not wait
// now: where that is little, the share rests on too little.
func (l *Ledger) MaxVirtualTime(waiting map[string]int, weight func(tenant string) uint32, now time.Duration) (highest, work float64) {
	for tenant, known := range l.accounts {
		virtual := l.VirtualTime(tenant, weight(tenant), now)
		work = max(work, known.total)
		if waiting[tenant] > 0 || l.told(known.hash).Waiting > 0 {
			highest = max(highest, virtual)
		}
	}
	return highest, work
}

// IsLight tells whether a tenant had less than modestPart of what another one had, here and
// elsewhere.
func (l *Ledger) IsLight(tenant string, weight func(tenant string) uint32, now time.Duration) bool {
	if now-l.mostAt >= totalFor {
		l.most, l.mostAt = 0, now
		for other := range l.accounts {
			l.most = max(l.most, l.VirtualTime(other, weight(other), now))
		}
	}
	return l.VirtualTime(tenant, weight(tenant), now) < modestPart*l.most
}

// RemoteWaiting is how many requests of a tenant wait elsewhere.
func (l *Ledger) RemoteWaiting(tenant string) int { return l.told(l.account(tenant).hash).Waiting }

// Entry is what a process tells of a tenant.
type Entry struct {
	// Hash is the tenant's name in digests.
	Hash uint32
	// Waiting is how many of its requests wait, and Work what was begun for it lately.
	Waiting int
	Work    int
}

// Entries lists what to tell the others, given how many requests of each tenant wait here: of
// the tenants that wait here or elsewhere, the MostTold that had the most. While none waits,
// or where there are no tenants, there is nothing to tell.
func (l *Ledger) Entries(waiting map[string]int, now time.Duration) []Entry {
	for tenant := range waiting {
		l.account(tenant)
	}
	if _, nameless := l.accounts[""]; nameless && len(l.accounts) == 1 {
		return nil
	}
	var entries []Entry
	for tenant, known := range l.accounts {
		if waiting[tenant] > 0 || l.told(known.hash).Waiting > 0 {
			entries = append(entries, Entry{Hash: known.hash, Waiting: waiting[tenant], Work: int(known.workAt(now))})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Hash, b.Hash)) })
	return entries[:min(len(entries), MaxEntries)]
}

// Len is how many tenants are held.
func (l *Ledger) Len() int { return len(l.accounts) }

func (l *Ledger) account(tenant string) *account {
	known := l.accounts[tenant]
	if known == nil {
		known = &account{hash: Hash(l.class, tenant), totalAt: -totalFor}
		l.accounts[tenant] = known
	}
	return known
}

// sweep forgets the tenants for which nothing was begun for some seconds.
func (l *Ledger) sweep(now time.Duration) {
	if now-l.swept < sweepInterval {
		return
	}
	l.swept = now
	for tenant, known := range l.accounts {
		if known.workAt(now) < leastWork && l.told(known.hash) == (RemoteUsage{}) {
			delete(l.accounts, tenant)
		}
	}
}
