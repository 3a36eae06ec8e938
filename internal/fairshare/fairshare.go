// Package fairshare tracks how much of a service each tenant used recently, so that requests of
// one priority share an overloaded service by the work of their tenants instead of in order of
// arrival. Otherwise a tenant that sends far more than usual through all routers of a site would
// delay all other tenants in each of their queues.
//
// The virtual time of a tenant is the work that was recently started for it, by this process and
// as reported by all others, divided by the tenant's weight. It decays with the time constant
// DecayTime. The waiting tenant with the least virtual time is served first. So a tenant that
// uses less than its share does not wait for those that use more, its unused share goes to the
// others, and an idle tenant accumulates no more than the share of one DecayTime. A restarted
// process loses its own counts but still receives those of the others.
//
// The package has no clock: times are durations since an origin of the caller's choice.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DecayTime is the time constant by which recorded work decays. It is several times the 300 ms
	// that a digest takes to reach all processes of a large site, so that remote usage is not
	// outdated, and short enough that an idle tenant delays the others only briefly.
	DecayTime = time.Second
	// MaxEntries is the number of tenants per class that a process reports at most, those with
	// the most work. With 250 routers in three zones, the sum of two zones has up to 670 entries of
	// about 11 bytes: 7 KB besides the servers' entries. If a digest exceeds a datagram, its
	// tenants are dropped (package loadshare).
	MaxEntries = 4
	// minTrackedWork is the work in tokens below which a tenant is forgotten. A request of 400
	// tokens decays to it in six seconds.
	minTrackedWork = 1.0
	// totalCacheTime is how long a total with remote usage is reused. A queue compares all waiting
	// requests for each one that leaves, but digests arrive only about ten times a second.
	totalCacheTime = 2 * time.Millisecond
	// sweepInterval is the time between sweeps of forgotten tenants.
	sweepInterval = time.Second
)

// overloadBacklog is the backlog above which tenants share: a third of the shortest objectives.
// With a smaller backlog all requests meet their objectives in order of arrival, and sharing
// would only delay the large tenants during short peaks: at 0.8 of the capacity 0.90 of their requests
// were in time without this bound, and 1.00 with it (TestFloodOfOneTenantDoesNotMakeOthersLate).
const overloadBacklog = 100 * time.Millisecond

// Overloaded reports whether the backlog, as the time that all servers need for it, requires
// tenants to share.
func Overloaded(backlog time.Duration) bool { return backlog > overloadBacklog }

// lightFraction is the part of another tenant's virtual time below which a tenant is light.
// Requests of light tenants don't wait for slots that the other tenant occupies. Of two tenants
// with similar usage neither is light.
const lightFraction = 0.5

// Hash identifies a tenant's class in load digests. In its entry, the requests in flight are the
// waiting ones and the unread tokens are the recently started work.
func Hash(class, tenant string) uint32 {
	return uint32(xxhash.Sum64String("share of " + tenant + " in " + class))
}

// RemoteUsage is what the other processes report about a tenant.
type RemoteUsage struct {
	// Waiting is the number of its requests that wait there.
	Waiting int
	// Work is the work that was recently started for it there.
	Work int
}

// account is the work of one tenant as of a time.
type account struct {
	hash uint32
	work float64
	at   time.Duration
	// total is the work here and elsewhere as of totalAt.
	total   float64
	totalAt time.Duration
}

func (a *account) workAt(now time.Duration) float64 {
	return a.work * math.Exp(-max(0, now-a.at).Seconds()/DecayTime.Seconds())
}

// Ledger holds the work that one process started for the tenants of one class: the requests of
// one priority for one service. It holds only the last seconds, about 100 bytes per tenant. It is
// not safe for concurrent use.
type Ledger struct {
	class    string
	remote   func(hash uint32) RemoteUsage
	accounts map[string]*account
	swept    time.Duration
	// maxVirtual is the highest virtual time as of maxVirtualAt.
	maxVirtual   float64
	maxVirtualAt time.Duration
}

// NewLedger returns an empty ledger of the named class. The remote function looks up the usage
// that other processes report.
func NewLedger(class string, remote func(hash uint32) RemoteUsage) *Ledger {
	return &Ledger{class: class, remote: remote, accounts: make(map[string]*account), maxVirtualAt: -totalCacheTime}
}

// Charge records work in tokens that starts for a tenant.
func (l *Ledger) Charge(tenant string, work float64, now time.Duration) {
	l.sweep(now)
	known := l.account(tenant)
	known.work, known.at = known.workAt(now)+work, now
	known.totalAt = -totalCacheTime
}

// Refund reverses the charge of work that did not run, less what has decayed since it began.
func (l *Ledger) Refund(tenant string, work float64, began, now time.Duration) {
	known := l.accounts[tenant]
	if known == nil {
		return
	}
	left := (&account{work: work, at: began}).workAt(now)
	known.work, known.at = max(0, known.workAt(now)-left), now
	known.totalAt = -totalCacheTime
}

// VirtualTime returns the virtual time of a tenant. A weight of zero counts as one.
func (l *Ledger) VirtualTime(tenant string, weight uint32, now time.Duration) float64 {
	known := l.account(tenant)
	if now-known.totalAt >= totalCacheTime {
		known.total, known.totalAt = known.workAt(now)+float64(l.remote(known.hash).Work), now
	}
	return known.total / float64(max(1, weight))
}

// RemoteWaitingBehind returns how many requests wait at other processes whose tenants have a
// higher virtual time. It covers the tenants of this ledger.
func (l *Ledger) RemoteWaitingBehind(virtual float64, weight func(tenant string) uint32, now time.Duration) int {
	behind := 0
	for tenant, known := range l.accounts {
		remote := l.remote(known.hash)
		if remote.Waiting > 0 && l.VirtualTime(tenant, weight(tenant), now) > virtual {
			behind += remote.Waiting
		}
	}
	return behind
}

// MaxVirtualTime returns the highest virtual time of the tenants that wait here or elsewhere.
// Under lasting overload it is the fair share: the work per DecayTime and unit of weight that
// each tenant gets that asks for more. It also returns the most work of any tenant, waiting or
// not; if this is small, the share is unreliable.
func (l *Ledger) MaxVirtualTime(waiting map[string]int, weight func(tenant string) uint32, now time.Duration) (highest, work float64) {
	for tenant, known := range l.accounts {
		virtual := l.VirtualTime(tenant, weight(tenant), now)
		work = max(work, known.total)
		if waiting[tenant] > 0 || l.remote(known.hash).Waiting > 0 {
			highest = max(highest, virtual)
		}
	}
	return highest, work
}

// IsLight reports whether a tenant's virtual time is less than lightFraction of another one's.
func (l *Ledger) IsLight(tenant string, weight func(tenant string) uint32, now time.Duration) bool {
	if now-l.maxVirtualAt >= totalCacheTime {
		l.maxVirtual, l.maxVirtualAt = 0, now
		for other := range l.accounts {
			l.maxVirtual = max(l.maxVirtual, l.VirtualTime(other, weight(other), now))
		}
	}
	return l.VirtualTime(tenant, weight(tenant), now) < lightFraction*l.maxVirtual
}

// RemoteWaiting returns how many requests of a tenant wait elsewhere.
func (l *Ledger) RemoteWaiting(tenant string) int { return l.remote(l.account(tenant).hash).Waiting }

// Entry is a process's report about one tenant.
type Entry struct {
	// Hash identifies the tenant in digests.
	Hash uint32
	// Waiting is the number of its waiting requests, and Work the recently started work.
	Waiting int
	Work    int
}

// Entries returns the entries to report: of the tenants that wait here or elsewhere, the
// MaxEntries with the most work. The argument is how many requests of each tenant wait here.
// Without waiting requests or named tenants there are no entries.
func (l *Ledger) Entries(waiting map[string]int, now time.Duration) []Entry {
	for tenant := range waiting {
		l.account(tenant)
	}
	if _, nameless := l.accounts[""]; nameless && len(l.accounts) == 1 {
		return nil
	}
	var entries []Entry
	for tenant, known := range l.accounts {
		if waiting[tenant] > 0 || l.remote(known.hash).Waiting > 0 {
			entries = append(entries, Entry{Hash: known.hash, Waiting: waiting[tenant], Work: int(known.workAt(now))})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Hash, b.Hash)) })
	return entries[:min(len(entries), MaxEntries)]
}

// Len returns the number of tenants in the ledger.
func (l *Ledger) Len() int { return len(l.accounts) }

func (l *Ledger) account(tenant string) *account {
	known := l.accounts[tenant]
	if known == nil {
		known = &account{hash: Hash(l.class, tenant), totalAt: -totalCacheTime}
		l.accounts[tenant] = known
	}
	return known
}

// sweep removes tenants whose work has decayed.
func (l *Ledger) sweep(now time.Duration) {
	if now-l.swept < sweepInterval {
		return
	}
	l.swept = now
	for tenant, known := range l.accounts {
		if known.workAt(now) < minTrackedWork && l.remote(known.hash) == (RemoteUsage{}) {
			delete(l.accounts, tenant)
		}
	}
}
