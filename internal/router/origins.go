package router

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/streamversion"
)

const (
	// originTimeout bounds the search for the origin of a stream. Processes of another region answer
	// within some tens of milliseconds.
	originTimeout = 250 * time.Millisecond
	// briefOriginTimeout is the same if the origin only matters should a version have left the directory while its streams
	// can still be resumed.
	briefOriginTimeout = 60 * time.Millisecond
	// originRepeat is the time after which a query is sent again, and announcementRepeat the same for an announcement:
	// datagrams may be lost. A router may be killed right after the first event of a stream.
	originRepeat       = 60 * time.Millisecond
	announcementRepeat = 20 * time.Millisecond
	// originExpiry is the time between two removals of origins that are no longer needed.
	originExpiry = 5 * time.Second
	// originsPerDatagram bounds the origins that are announced together, at some 40 bytes each.
	originsPerDatagram = 25
)

// sendOrigins sends a datagram to a process. It never blocks.
type sendOrigins func(to netip.AddrPort, bundle *rockwindpb.LoadBundle)

// streamOrigins holds at which software versions streams began: those of this process, and those that other
// processes announced to it. It is safe for concurrent use.
type streamOrigins struct {
	started time.Time

	mutex     sync.Mutex
	table     *streamversion.Table
	expiredAt time.Duration
	// self is the name of this process, members are all that hold origins, and send reaches them; nil before
	// setPeers.
	self    string
	members []streamversion.Member
	send    sendOrigins
	// searches are the searches in progress, by stream.
	searches map[streamversion.Key]*originSearch
}

// originSearch is a search for the origin of a stream.
type originSearch struct {
	// ended is closed once a process knew the origin, or all that were asked knew nothing; nearlyEnded also when all but
	// one did: the router that began the stream may be among them, and gone.
	ended, nearlyEnded chan struct{}
	nearlyEnd          sync.Once
	origin             streamversion.Origin
	// asked is the number of processes asked, and unanswered holds those that have not answered, by name.
	asked      int
	unanswered map[string]streamversion.Member
	// searchers counts the requests that wait.
	searchers int
}

// originResult is the result of a search.
type originResult struct {
	streamversion.Origin
	// Asked is the number of processes asked, and Silent are those that have not answered.
	Asked  int
	Silent []streamversion.Member
	// Unasked is set if other processes can't be asked, since they are not known yet.
	Unasked bool
}

// unanswered reports whether the origin may be known to a process that has not answered. One router may be silent: the
// one that began the stream may be among those asked, and gone.
func (r originResult) unanswered() bool {
	return r.Unasked || len(r.Silent) > 1 || slices.ContainsFunc(r.Silent, func(silent streamversion.Member) bool { return silent.Store })
}

// silentNames returns the names of the processes that have not answered, in order.
func (r originResult) silentNames() []string {
	names := make([]string, 0, len(r.Silent))
	for _, each := range r.Silent {
		names = append(names, each.Name)
	}
	slices.Sort(names)
	return names
}

// summary names the outcome of the search for metrics.
func (r originResult) summary() string {
	switch {
	case r.Asked == 0:
		return "not awaited"
	case r.Known:
		return "found"
	case len(r.Silent) == r.Asked:
		return "unanswered"
	case len(r.Silent) > 0:
		return "partly answered"
	}
	return "answered"
}

func newStreamOrigins(started time.Time) *streamOrigins {
	return &streamOrigins{started: started, table: streamversion.NewTable(), searches: make(map[streamversion.Key]*originSearch)}
}

func (o *streamOrigins) now() time.Duration { return time.Since(o.started) }

// setPeers sets the processes that hold origins, and how they are reached.
func (o *streamOrigins) setPeers(self string, members []streamversion.Member, send sendOrigins) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.self, o.members, o.send = self, members, send
}

// add records the origin of a stream that this process began, and announces it.
func (o *streamOrigins) add(key streamversion.Key, service, version string, keep time.Duration) {
	o.mutex.Lock()
	now := o.now()
	o.table.Put(key, service, version, true, now+keep, now)
	send, members, self := o.send, o.members, o.self
	o.mutex.Unlock()
	if send == nil {
		return
	}
	holders := streamversion.Announced(key, members, self)
	bundle := &rockwindpb.LoadBundle{Origins: []*rockwindpb.StreamOrigin{newOrigin(key, service, version, keep)}}
	announce := func() {
		for _, holder := range holders {
			send(holder.Address, bundle)
		}
	}
	announce()
	if streamversion.RepeatsAnnouncements(members) {
		time.AfterFunc(announcementRepeat, announce)
	}
}

func newOrigin(key streamversion.Key, service, version string, keep time.Duration) *rockwindpb.StreamOrigin {
	return &rockwindpb.StreamOrigin{Key: uint64(key), Version: version, Service: service, KeepMs: uint32(keep.Milliseconds())}
}

// announceOwn announces the origins of all streams that this process began at a service.
func (o *streamOrigins) announceOwn(service string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.send == nil {
		return
	}
	now := o.now()
	announced := make(map[netip.AddrPort][]*rockwindpb.StreamOrigin)
	o.table.EachOwn(service, now, func(key streamversion.Key, version string, expires time.Duration) {
		for _, holder := range streamversion.Announced(key, o.members, o.self) {
			announced[holder.Address] = append(announced[holder.Address], newOrigin(key, service, version, expires-now))
		}
	})
	for address, origins := range announced {
		for len(origins) > 0 {
			count := min(len(origins), originsPerDatagram)
			o.send(address, &rockwindpb.LoadBundle{Origins: origins[:count]})
			origins = origins[count:]
		}
	}
}

// get returns the origin of a stream as far as this process knows it.
func (o *streamOrigins) get(key streamversion.Key) streamversion.Origin {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.table.Get(key, o.now())
}

// find returns the origin of a stream. It asks the processes that hold it unless this one does.
func (o *streamOrigins) find(ctx context.Context, key streamversion.Key) originResult {
	return o.findNotifying(ctx, key, func() {})
}

// findNotifying is find, and calls a function once all processes but one have answered.
func (o *streamOrigins) findNotifying(ctx context.Context, key streamversion.Key, nearlyEnded func()) originResult {
	search, origin := o.beginSearch(key)
	if search == nil {
		return originResult{Origin: origin, Unasked: !o.connected()}
	}
	defer o.endSearch(key, search)
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	repeat := time.NewTicker(originRepeat)
	defer repeat.Stop()
	awaited := search.nearlyEnded
	o.query(key, search)
	for {
		select {
		case <-search.ended:
			return o.result(search)
		case <-awaited:
			if result := o.result(search); result.Known {
				return result
			}
			awaited = nil
			nearlyEnded()
		case <-ctx.Done():
			return o.result(search)
		case <-repeat.C:
			o.query(key, search)
		}
	}
}

// connected reports whether other processes can be asked.
func (o *streamOrigins) connected() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.send != nil
}

// result returns what a search has found so far.
func (o *streamOrigins) result(search *originSearch) originResult {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return originResult{Origin: search.origin, Asked: search.asked, Silent: slices.Collect(maps.Values(search.unanswered))}
}

// beginSearch returns the search for a stream, or nil and the origin if no other process needs to be asked.
func (o *streamOrigins) beginSearch(key streamversion.Key) (*originSearch, streamversion.Origin) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	origin := o.table.Get(key, o.now())
	holders := streamversion.Holders(key, o.members, o.self)
	if origin.Known || o.send == nil || len(holders) == 0 {
		return nil, origin
	}
	search := o.searches[key]
	if search == nil {
		search = &originSearch{ended: make(chan struct{}), nearlyEnded: make(chan struct{}), asked: len(holders), unanswered: make(map[string]streamversion.Member)}
		for _, holder := range holders {
			search.unanswered[holder.Name] = holder
		}
		o.searches[key] = search
	}
	search.searchers++
	return search, streamversion.Origin{}
}

func (o *streamOrigins) endSearch(key streamversion.Key, search *originSearch) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if search.searchers--; search.searchers == 0 && o.searches[key] == search {
		delete(o.searches, key)
	}
}

// query asks the processes that have not answered yet.
func (o *streamOrigins) query(key streamversion.Key, search *originSearch) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	bundle := &rockwindpb.LoadBundle{OriginQueries: []uint64{uint64(key)}, Sender: o.self}
	for _, holder := range streamversion.Holders(key, o.members, o.self) {
		if _, silent := search.unanswered[holder.Name]; silent {
			o.send(holder.Address, bundle)
		}
	}
}

// receive processes the origins and queries of a datagram.
func (o *streamOrigins) receive(received *rockwindpb.LoadBundle) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.now()
	for _, origin := range received.GetOrigins() {
		o.receiveOrigin(origin, received.GetSender(), now)
	}
	if len(received.GetOriginQueries()) > 0 {
		o.answer(received, now)
	}
}

// receiveOrigin processes an announcement or the answer to a query. The caller holds o.mutex.
func (o *streamOrigins) receiveOrigin(origin *rockwindpb.StreamOrigin, sender string, now time.Duration) {
	key := streamversion.Key(origin.GetKey())
	if !origin.GetUnknown() {
		o.table.Put(key, origin.GetService(), origin.GetVersion(), false, now+time.Duration(origin.GetKeepMs())*time.Millisecond, now)
	}
	search := o.searches[key]
	if search == nil || search.origin.Known || len(search.unanswered) == 0 {
		return
	}
	delete(search.unanswered, sender)
	if !origin.GetUnknown() {
		search.origin = streamversion.Origin{Known: true, Version: origin.GetVersion()}
		clear(search.unanswered)
	}
	if len(search.unanswered) <= 1 {
		search.nearlyEnd.Do(func() { close(search.nearlyEnded) })
	}
	if len(search.unanswered) == 0 {
		close(search.ended)
	}
}

// answer answers queries. The caller holds o.mutex.
func (o *streamOrigins) answer(received *rockwindpb.LoadBundle, now time.Duration) {
	answered := &rockwindpb.LoadBundle{Sender: o.self}
	for _, key := range received.GetOriginQueries() {
		origin := o.table.Get(streamversion.Key(key), now)
		answered.Origins = append(answered.Origins, &rockwindpb.StreamOrigin{
			Key: key, Version: origin.Version, Unknown: !origin.Known, KeepMs: uint32(originRetention.Milliseconds()),
		})
	}
	for _, member := range o.members {
		if member.Name == received.GetSender() && o.send != nil {
			o.send(member.Address, answered)
		}
	}
}

// expire removes the origins of streams that can no longer be resumed.
func (o *streamOrigins) expire() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if now := o.now(); now-o.expiredAt >= originExpiry {
		o.expiredAt = now
		o.table.Expire(now)
	}
}

// counts returns the number of origins held, and of those that found no room.
func (o *streamOrigins) counts() (held int, dropped uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.table.Len(), o.table.Dropped()
}

// StreamOrigins returns the number of streams whose software version this process holds, and of those that found no
// room.
func (d *Dispatcher) StreamOrigins() (held int, dropped uint64) { return d.origins.counts() }

// announceOrigin records the origin of a stream and announces it. While the servers have one version, too: this process may
// be killed before it learns that another one has joined.
func (d *Dispatcher) announceOrigin(key streamversion.Key, service, version string, keep time.Duration) {
	d.origins.add(key, service, version, keep)
}

// announceMixed announces the streams of services that have begun to have servers of several versions again, since
// announcements may have been lost. The caller holds d.mutex.
func (d *Dispatcher) announceMixed() {
	for name, pool := range d.pools {
		mixed := pool.mixed(d.now())
		if mixed && !pool.wasMixed {
			pool.mixedSince = d.now()
			d.origins.announceOwn(name)
		}
		pool.wasMixed = mixed
	}
}

// announcementTime is within how much time all routers learn of a second version and announce again the streams that they
// began before.
const announcementTime = time.Second

// AwaitsOrigins reports whether other routers may not have announced yet which streams they began at a service, because it
// has had servers of several versions for a short time only.
func (d *Dispatcher) AwaitsOrigins(service string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pool := d.poolOf(service)
	return pool.wasMixed && d.now()-pool.mixedSince < announcementTime
}
