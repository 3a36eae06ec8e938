package balance

import "time"

// serverView is a server with the load estimated for it at a moment.
type serverView struct {
	*server
	// peers is the load of all other processes.
	peers SharedLoad
	// totalInflight is the number of requests of all processes, including orphaned ones. load is
	// the estimate that also includes the server's own report. orphaned is the number of orphaned
	// requests alone.
	totalInflight int
	load          int
	orphaned      int
	// orphansCounted is set if the orphaned requests there are counted.
	orphansCounted bool
	// reportAge is the age of the server's last load report, if hasReport is set.
	reportAge time.Duration
	// batch is the number of batch requests of all processes.
	batch int
	// online is the load that counts for an online request.
	online int
}

// viewOf estimates the load of a server. The server's own report counts only while it is recent,
// and for longer while the loads of other processes are not known.
//
// Where requests are paced, batch work doesn't count for online requests: a request sent to a
// server full of batch work starts once some of that is preempted. Otherwise the request waits in
// the router for the preemption.
func (p *Pool) viewOf(s *server, now time.Duration) serverView {
	peers := p.loads.At(s.hash)
	view := serverView{server: s, peers: peers, orphaned: p.loads.orphaned(s.orphanHash), orphansCounted: p.loads.orphansCounted(s.orphanHash), batch: s.batch + peers.Batch}
	view.totalInflight = s.inflight + peers.Inflight + view.orphaned
	view.load, view.reportAge = view.totalInflight, now-s.reportedAt
	ttl := reportTTL
	if p.loads.HasPeers() && !p.uninformed {
		ttl = reportTTLWithPeers
	}
	if s.hasReport && view.reportAge <= ttl {
		view.load = max(view.load, s.reportedLoad+s.inflightDelta)
	}
	view.online = view.load
	if p.paced() {
		view.online = max(0, view.load-view.batch)
	}
	return view
}

// hasRoom reports whether the server can start a request immediately. An online request may exceed
// the slots by overcommit.
func (s serverView) hasRoom(batch bool, overcommit int, now time.Duration) bool {
	if s.replaced || now < s.fullUntil {
		return false
	}
	if s.Slots == 0 {
		return true
	}
	if batch {
		// Reports alternate between new and old; adding them to the counts would leave slots empty.
		// They only show whether requests wait at the server.
		return s.totalInflight < s.Slots && s.load <= s.Slots
	}
	return s.online < s.Slots+overcommit
}

// freeEstimate returns the estimated number of free slots. If the slots are not known, the result
// falls with the load.
func (s serverView) freeEstimate(batch bool) float64 {
	load := float64(s.online)
	if batch {
		load = float64(s.load)
	}
	if s.Slots == 0 {
		return 1 / (1 + load)
	}
	return max(minFreeSlots, float64(s.Slots)-load)
}
