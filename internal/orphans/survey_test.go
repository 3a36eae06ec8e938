package orphans_test

import (
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/orphans"
)

const (
	started = 1_000_000
	slots   = 8
)

// restartedPeers is the status where all peers have just started too, and survivingPeers where
// one of them started a minute earlier.
var (
	restartedPeers = orphans.PeerStatus{Reported: true, EarliestStart: started - 300}
	survivingPeers = orphans.PeerStatus{Reported: true, EarliestStart: started - 60_000}
	noLoad         = func(string) int { return 0 }
)

// startSurvey starts the survey of the only process that sends queries.
func startSurvey(servers int) *orphans.Survey {
	survey := orphans.New(started)
	survey.Start("store", []string{"store"}, makeServers(servers), 0)
	return survey
}

func makeServers(servers int) []orphans.Server {
	var all []orphans.Server
	for i := range servers {
		all = append(all, orphans.Server{ID: fmt.Sprint("server-", i), Address: "address", Slots: slots})
	}
	return all
}

// orphanedAt returns the count of a server, or -1 if the survey has none.
func orphanedAt(survey *orphans.Survey, id string) int {
	found := -1
	survey.Orphaned(func(each string, count int) {
		if each == id {
			found = count
		}
	})
	return found
}

func countDue(survey *orphans.Survey, now time.Duration) int { return len(survey.Due(now)) }

func TestEachServerIsQueriedByTwoProcesses(t *testing.T) {
	var stores []string
	for i := range 14 {
		stores = append(stores, fmt.Sprint("store-", i))
	}
	queries := make(map[string]int)
	for _, store := range stores {
		survey := orphans.New(started)
		survey.Start(store, stores, makeServers(90), 0)
		for _, server := range survey.Due(0) {
			queries[server.ID]++
		}
	}
	for _, server := range makeServers(90) {
		if queries[server.ID] != 2 {
			t.Errorf("%s is queried by %d processes", server.ID, queries[server.ID])
		}
	}
	router := orphans.New(started)
	router.Start("router", stores, makeServers(90), 0)
	if countDue(router, 0) != 0 || !router.Done() {
		t.Error("a process outside of the list sends queries")
	}
}

// Guards against load queries by processes that the server does not list, such as those of other regions.
func TestServerIsQueriedByItsProcessesOnly(t *testing.T) {
	stores := []string{"store-0", "store-1", "store-2", "store-3", "store-4", "store-5"}
	servers := makeServers(30)
	for i := range servers {
		servers[i].Processes = stores[:3]
	}
	queries := make(map[string]int)
	for i, store := range stores {
		survey := orphans.New(started)
		survey.Start(store, stores, servers, 0)
		for _, server := range survey.Due(0) {
			queries[server.ID]++
			if i >= 3 {
				t.Errorf("%s queries %s", store, server.ID)
			}
		}
	}
	for _, server := range servers {
		if queries[server.ID] != 2 {
			t.Errorf("%s is queried by %d processes", server.ID, queries[server.ID])
		}
	}
}

func TestQueriesOfOneProcessAreBounded(t *testing.T) {
	survey, queries := startSurvey(3000), 0
	for now := time.Duration(0); now < 10*time.Second; now += 20 * time.Millisecond {
		survey.Evaluate(restartedPeers, noLoad, now)
		for _, server := range survey.Due(now) {
			queries++
			survey.Answered(server.ID, 30, 0)
		}
	}
	if queries != 2*64 || !survey.Done() {
		t.Errorf("%d queries, done: %v", queries, survey.Done())
	}
}

func TestWholeLoadIsOrphanedAfterCommonRestart(t *testing.T) {
	survey := startSurvey(2)
	if countDue(survey, 0) != 2 || !survey.Pending() {
		t.Fatal("the servers are not queried at once")
	}
	survey.Answered("server-0", 5, 3)
	if orphanedAt(survey, "server-0") != -1 {
		t.Error("a count exists before a peer reports")
	}
	survey.Evaluate(restartedPeers, noLoad, 40*time.Millisecond)
	if survey.Pending() || orphanedAt(survey, "server-0") != 5 {
		t.Errorf("%d orphaned, want 5", orphanedAt(survey, "server-0"))
	}
	survey.Answered("server-1", 7, 3)
	if orphanedAt(survey, "server-1") != 7 {
		t.Errorf("%d orphaned by a later answer, want 7", orphanedAt(survey, "server-1"))
	}
}

// TestProcessWithoutPeersCountsAfterTimeout: the first process that restarts has no peers yet.
func TestProcessWithoutPeersCountsAfterTimeout(t *testing.T) {
	survey := startSurvey(1)
	countDue(survey, 0)
	survey.Answered("server-0", 5, 0)
	for now := time.Duration(0); now < 400*time.Millisecond; now += 20 * time.Millisecond {
		survey.Evaluate(orphans.PeerStatus{}, noLoad, now)
	}
	if orphanedAt(survey, "server-0") != 5 {
		t.Errorf("%d orphaned, want 5", orphanedAt(survey, "server-0"))
	}
}

// TestPlannedRestartOfOneProcessCountsNothing: the peers account for the reported loads, and
// one query per server suffices.
func TestPlannedRestartOfOneProcessCountsNothing(t *testing.T) {
	survey, queries := startSurvey(12), 0
	liveLoad := func(string) int { return 5 }
	for now := time.Duration(0); now < 5*time.Second; now += 20 * time.Millisecond {
		peers := orphans.PeerStatus{}
		if now >= 60*time.Millisecond {
			peers = survivingPeers
		}
		survey.Evaluate(peers, liveLoad, now)
		for _, server := range survey.Due(now) {
			queries++
			survey.Answered(server.ID, 6, 0)
		}
		survey.Orphaned(func(id string, count int) {
			if count > 0 {
				t.Errorf("%d orphaned at %s at %v", count, id, now)
			}
		})
	}
	if queries != 12 || !survey.Done() || survey.Counts().Orphaned != 0 {
		t.Errorf("%d queries, done: %v, %d orphaned", queries, survey.Done(), survey.Counts().Orphaned)
	}
}

// TestExcessOverPeerLoadIsOrphaned covers a restart with surviving peers.
func TestExcessOverPeerLoadIsOrphaned(t *testing.T) {
	survey := startSurvey(4)
	liveLoad := func(string) int { return 2 }
	for now := time.Duration(0); now < 800*time.Millisecond; now += 20 * time.Millisecond {
		survey.Evaluate(survivingPeers, liveLoad, now)
		for _, server := range survey.Due(now) {
			survey.Answered(server.ID, 6, liveLoad(server.ID))
		}
		if now < 300*time.Millisecond && orphanedAt(survey, "server-0") > 0 {
			t.Fatalf("counted at %v, before the peers report", now)
		}
	}
	if got := orphanedAt(survey, "server-0"); got < 3 || got > 4 {
		t.Errorf("%d orphaned, want 3 or 4", got)
	}
}

// TestPeerLoadReportedLateIsNotCounted: not all peer loads have arrived at the first comparison.
func TestPeerLoadReportedLateIsNotCounted(t *testing.T) {
	survey, queries := startSurvey(4), 0
	for now := time.Duration(0); now < 3*time.Second; now += 20 * time.Millisecond {
		survey.Evaluate(survivingPeers, noLoad, now)
		for _, server := range survey.Due(now) {
			queries++
			survey.Answered(server.ID, 6, 5)
		}
		if orphanedAt(survey, "server-0") > 0 {
			t.Fatalf("%d counted at %v", orphanedAt(survey, "server-0"), now)
		}
	}
	if queries != 8 || !survey.Done() {
		t.Errorf("%d queries, done: %v", queries, survey.Done())
	}
}

// TestSurvivorSeenLateDiscardsCounts: two processes that restart while others run may receive
// each other first.
func TestSurvivorSeenLateDiscardsCounts(t *testing.T) {
	survey := startSurvey(1)
	countDue(survey, 0)
	survey.Answered("server-0", 6, 0)
	survey.Evaluate(restartedPeers, noLoad, 20*time.Millisecond)
	if orphanedAt(survey, "server-0") != 6 {
		t.Fatal("nothing was counted")
	}
	survey.Evaluate(survivingPeers, noLoad, 40*time.Millisecond)
	if orphanedAt(survey, "server-0") > 0 {
		t.Errorf("%d still counted", orphanedAt(survey, "server-0"))
	}
}

// TestSilentPeersDoNotBlockSurvey covers peers that stop sending their loads.
func TestSilentPeersDoNotBlockSurvey(t *testing.T) {
	survey := startSurvey(2)
	countDue(survey, 0)
	survey.Answered("server-0", 5, 0)
	survey.Answered("server-1", 5, 0)
	survey.Evaluate(survivingPeers, noLoad, 100*time.Millisecond)
	if !survey.Pending() {
		t.Fatal("the survey does not wait for the peers' loads")
	}
	survey.Evaluate(orphans.PeerStatus{}, noLoad, 500*time.Millisecond)
	if survey.Pending() || countDue(survey, 500*time.Millisecond) != 2 {
		t.Error("the survey still waits for the peers' loads")
	}
}

// TestSurvivorReportIsAcceptedAndForwarded: a relayed load digest does not contain start times.
func TestSurvivorReportIsAcceptedAndForwarded(t *testing.T) {
	survey := startSurvey(1)
	countDue(survey, 0)
	survey.Answered("server-0", 6, 0)
	survey.Evaluate(restartedPeers, noLoad, 20*time.Millisecond)
	if survey.ReportSurvivors() {
		t.Fatal("survivors are reported without a report of peers")
	}
	report := restartedPeers
	report.SurvivorsReported = true
	survey.Evaluate(report, noLoad, 60*time.Millisecond)
	if orphanedAt(survey, "server-0") > 0 || !survey.ReportSurvivors() || !survey.Pending() {
		t.Error("the report of survivors is not accepted")
	}
	for now := 80 * time.Millisecond; now < 3*time.Second; now += 20 * time.Millisecond {
		survey.Evaluate(restartedPeers, func(string) int { return 6 }, now)
		if telling := now < 900*time.Millisecond; survey.ReportSurvivors() != telling || survey.Done() == telling {
			t.Fatalf("at %v survivors reported: %v, done: %v", now, survey.ReportSurvivors(), survey.Done())
		}
	}
}

func TestMissingAndImplausibleAnswersCountNothing(t *testing.T) {
	survey := startSurvey(3)
	countDue(survey, 0)
	survey.Failed("server-0")
	survey.Answered("server-1", 4*slots+1, 0)
	survey.Answered("server-2", -1, 0)
	survey.Answered("unknown", 5, 0)
	for now := time.Duration(0); now < 700*time.Millisecond; now += 20 * time.Millisecond {
		survey.Evaluate(restartedPeers, noLoad, now)
		if countDue(survey, now) > 0 {
			t.Fatalf("queried again at %v", now)
		}
		for i := range 3 {
			if orphanedAt(survey, fmt.Sprint("server-", i)) > 0 {
				t.Fatalf("requests are counted at server %d", i)
			}
		}
	}
	if !survey.Done() || survey.Counts().Answered != 0 {
		t.Error("the survey is not done")
	}
}

// TestUnansweredQueryDoesNotBlockSurvey: neither an answer nor a failure is reported.
func TestUnansweredQueryDoesNotBlockSurvey(t *testing.T) {
	survey := startSurvey(1)
	countDue(survey, 0)
	for now := time.Duration(0); now <= 4*time.Second; now += 20 * time.Millisecond {
		survey.Evaluate(restartedPeers, noLoad, now)
		if survey.Pending() && now > 200*time.Millisecond {
			t.Fatal("work waits for the answer")
		}
	}
	if !survey.Done() {
		t.Error("the survey is not done")
	}
	survey.Answered("server-0", 5, 0)
	if orphanedAt(survey, "server-0") > 0 {
		t.Error("a late answer counts")
	}
}

// TestOrphanedCountOnlyFalls: the counts follow the reported loads, and end after maxDuration at a
// server that always reports a high load.
func TestOrphanedCountOnlyFalls(t *testing.T) {
	survey := startSurvey(2)
	countDue(survey, 0)
	survey.Answered("server-0", 8, 0)
	survey.Answered("server-1", 8, 0)
	last, doneAt := 8, time.Duration(0)
	for now := time.Duration(0); now < 10*time.Second && !survey.Done(); now += 20 * time.Millisecond {
		survey.Evaluate(restartedPeers, noLoad, now)
		for _, server := range survey.Due(now) {
			if server.ID == "server-0" {
				survey.Answered(server.ID, 9, 8)
			} else {
				survey.Answered(server.ID, 30, 8)
			}
		}
		if now > 1100*time.Millisecond && orphanedAt(survey, "server-0") > 0 {
			t.Fatalf("%d counted at %v, although live processes account for the reported load", orphanedAt(survey, "server-0"), now)
		}
		if next := max(0, orphanedAt(survey, "server-1")); next > last {
			t.Fatalf("orphaned requests rise from %d to %d", last, next)
		} else {
			last = next
		}
		doneAt = now
	}
	if doneAt > 4*time.Second {
		t.Errorf("a server that always reports a high load is counted for %v", doneAt)
	}
}

// TestLateFirstAnswerIsComparedWithPeers: a first answer after settleTime must not be counted
// whole.
func TestLateFirstAnswerIsComparedWithPeers(t *testing.T) {
	survey := startSurvey(2)
	countDue(survey, 0)
	survey.Answered("server-0", 6, 0)
	for now := time.Duration(0); now <= 420*time.Millisecond; now += 20 * time.Millisecond {
		survey.Evaluate(survivingPeers, noLoad, now)
	}
	survey.Answered("server-1", 6, 6)
	if got := orphanedAt(survey, "server-1"); got != 0 || survey.Counts().Orphaned != 0 {
		t.Errorf("%d counted of %d that live processes account for", got, 6)
	}
}

// TestSurvivorSeenAfterSettleTimeDiscardsCounts covers a surviving peer whose load arrives
// late.
func TestSurvivorSeenAfterSettleTimeDiscardsCounts(t *testing.T) {
	for _, peers := range []orphans.PeerStatus{{}, restartedPeers} {
		survey := startSurvey(2)
		liveLoad := noLoad
		for now := time.Duration(0); now < 2*time.Second; now += 20 * time.Millisecond {
			if now == 420*time.Millisecond {
				if orphanedAt(survey, "server-0") < 5 {
					t.Fatal("nothing was counted")
				}
				peers, liveLoad = survivingPeers, func(string) int { return 6 }
			}
			survey.Evaluate(peers, liveLoad, now)
			for _, server := range survey.Due(now) {
				survey.Answered(server.ID, 6, liveLoad(server.ID))
			}
			if now >= 420*time.Millisecond && orphanedAt(survey, "server-0") > 0 {
				t.Fatalf("%d still counted at %v", orphanedAt(survey, "server-0"), now)
			}
		}
		if !survey.Done() || survey.Counts().Orphaned != 0 {
			t.Errorf("done: %v, %d orphaned", survey.Done(), survey.Counts().Orphaned)
		}
	}
}

// TestLateSurvivorReportIsIgnored: a machine that restarts later than the rest reports the rest
// as survivors.
func TestLateSurvivorReportIsIgnored(t *testing.T) {
	survey := startSurvey(1)
	countDue(survey, 0)
	survey.Answered("server-0", 8, 0)
	report := restartedPeers
	report.SurvivorsReported = true
	for now := time.Duration(0); now < 900*time.Millisecond; now += 20 * time.Millisecond {
		peers := restartedPeers
		if now > 400*time.Millisecond {
			peers = report
		}
		survey.Evaluate(peers, func(string) int { return 8 }, now)
	}
	if got := orphanedAt(survey, "server-0"); got < 6 {
		t.Errorf("%d orphaned, want at least 6", got)
	}
}

// TestLateRestartCountsNoLoadOfPeers: requests that the peers have sent since their own restart
// are part of the reported loads, as in a rolling restart.
func TestLateRestartCountsNoLoadOfPeers(t *testing.T) {
	for _, later := range []int64{600, 1000, 1500} {
		survey := startSurvey(4)
		laterPeers := orphans.PeerStatus{Reported: true, EarliestStart: started - later}
		liveLoad := func(string) int { return 6 }
		for now := time.Duration(0); now < 2*time.Second; now += 20 * time.Millisecond {
			survey.Evaluate(laterPeers, liveLoad, now)
			for _, server := range survey.Due(now) {
				survey.Answered(server.ID, 6, liveLoad(server.ID))
			}
			if got := orphanedAt(survey, "server-0"); got > 0 {
				t.Fatalf("restart %d ms after the peers: %d counted at %v", later, got, now)
			}
		}
		if survey.Counts().Orphaned != 0 {
			t.Errorf("restart %d ms after the peers: %d orphaned", later, survey.Counts().Orphaned)
		}
	}
}

// TestLittleLoadEndsSurvey: a small reported load must not delay work.
func TestLittleLoadEndsSurvey(t *testing.T) {
	survey := startSurvey(3)
	countDue(survey, 0)
	survey.Answered("server-0", 0, 0)
	survey.Answered("server-1", 3, 0)
	survey.Evaluate(survivingPeers, noLoad, 20*time.Millisecond)
	if !survey.Pending() {
		t.Fatal("the survey does not wait for the last answer")
	}
	survey.Failed("server-2")
	survey.Evaluate(survivingPeers, noLoad, 40*time.Millisecond)
	if survey.Pending() || orphanedAt(survey, "server-1") > 0 {
		t.Error("work waits although the loads are small")
	}
}

// TestLateDirectoryCountsNoRequestsOfPeers guards against a process that gets its first directory long after
// its start and counts what its peers have sent meanwhile as orphaned.
func TestLateDirectoryCountsNoRequestsOfPeers(t *testing.T) {
	survey := orphans.New(started)
	survey.MarkLate(600 * time.Millisecond)
	survey.Start("store", []string{"store"}, makeServers(2), 0)
	live := func(string) int { return 4 }
	for _, server := range survey.Due(0) {
		survey.Answered(server.ID, 7, 0)
	}
	survey.Evaluate(restartedPeers, live, 100*time.Millisecond)
	if found := orphanedAt(survey, "server-0"); found > 0 {
		t.Fatalf("%d requests count as orphaned before the loads of the peers are known", found)
	}
	survey.Evaluate(restartedPeers, live, 410*time.Millisecond)
	for _, server := range survey.Due(410 * time.Millisecond) {
		survey.Answered(server.ID, 7, 4)
	}
	if found := orphanedAt(survey, "server-0"); found != 3 {
		t.Fatalf("%d requests count as orphaned, want the 3 of 7 that the peers do not account for", found)
	}
	if survey.ReportSurvivors() {
		t.Error("the process announces peers that survived")
	}
}

// Guards against a process which comes back after its peers and finds nothing orphaned, because these have sent
// more requests since the first answers than are orphaned: at half of the servers no excess shows, and at all
// of them together it is less than a quarter of the reported load.
func TestLateProcessCountsBesideTheRequestsOfItsPeers(t *testing.T) {
	for name, test := range map[string]struct {
		peers orphans.PeerStatus
		want  int
	}{"all restarted": {restartedPeers, 3}, "some survived": {survivingPeers, 0}} {
		t.Run(name, func(t *testing.T) {
			survey := orphans.New(started)
			survey.MarkLate(600 * time.Millisecond)
			survey.Start("store", []string{"store"}, makeServers(4), 0)
			for _, server := range survey.Due(0) {
				survey.Answered(server.ID, 6, 0)
			}
			live := func(id string) int {
				if id < "server-2" {
					return 4
				}
				return 6
			}
			queries := 0
			for now := time.Duration(0); now < 900*time.Millisecond; now += 20 * time.Millisecond {
				survey.Evaluate(test.peers, live, now)
				for _, server := range survey.Due(now) {
					queries++
					survey.Answered(server.ID, live(server.ID)+3, live(server.ID))
				}
			}
			for _, server := range makeServers(4) {
				if found := max(0, orphanedAt(survey, server.ID)); found != test.want {
					t.Errorf("%d requests count as orphaned at %s, want %d", found, server.ID, test.want)
				}
			}
			if queries > 4 {
				t.Errorf("%d further queries", queries)
			}
		})
	}
}
