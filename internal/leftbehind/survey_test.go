package leftbehind_test

import (
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/leftbehind"
)

const (
	started = 1_000_000
	slots   = 8
)

// fresh is what a process hears where all others have just started too, and alive where one of
// them has lived for a minute.
var (
	fresh = leftbehind.PeerStatus{Heard: true, EarliestStart: started - 300}
	alive = leftbehind.PeerStatus{Heard: true, EarliestStart: started - 60_000}
	none  = func(string) int { return 0 }
)

// begun is the survey of the only process that asks, before the given number of servers.
func begun(servers int) *leftbehind.Survey {
	survey := leftbehind.New(started)
	survey.Start("store", []string{"store"}, list(servers), 0)
	return survey
}

func list(servers int) []leftbehind.Server {
	var all []leftbehind.Server
	for i := range servers {
		all = append(all, leftbehind.Server{ID: fmt.Sprint("server-", i), Address: "address", Slots: slots})
	}
	return all
}

// left is what the survey counts at a server; -1 where it tells nothing of it.
func left(survey *leftbehind.Survey, id string) int {
	found := -1
	survey.LeftBehind(func(each string, count int) {
		if each == id {
			found = count
		}
	})
	return found
}

// due is how many servers are asked now.
func due(survey *leftbehind.Survey, now time.Duration) int { return len(survey.Due(now)) }

func TestEachServerIsAskedByTwoProcesses(t *testing.T) {
	var stores []string
	for i := range 14 {
		stores = append(stores, fmt.Sprint("store-", i))
	}
	asked := make(map[string]int)
	for _, store := range stores {
		survey := leftbehind.New(started)
		survey.Start(store, stores, list(90), 0)
		for _, server := range survey.Due(0) {
			asked[server.ID]++
		}
	}
	for _, server := range list(90) {
		if asked[server.ID] != 2 {
			t.Errorf("%s is asked by %d processes", server.ID, asked[server.ID])
		}
	}
	router := leftbehind.New(started)
	router.Start("router", stores, list(90), 0)
	if due(router, 0) != 0 || !router.Done() {
		t.Error("a process that is none of those that ask asks")
	}
}

func TestQuestionsOfOneProcessAreBounded(t *testing.T) {
	survey, questions := begun(3000), 0
	for now := time.Duration(0); now < 10*time.Second; now += 20 * time.Millisecond {
		survey.Evaluate(fresh, none, now)
		for _, server := range survey.Due(now) {
			questions++
			survey.Answered(server.ID, 30, 0)
		}
	}
	if questions != 2*64 || !survey.Done() {
		t.Errorf("%d questions, over %v", questions, survey.Done())
	}
}

func TestAllThatServersTellIsLeftBehindWhereAllHaveJustStarted(t *testing.T) {
	survey := begun(2)
	if due(survey, 0) != 2 || !survey.Pending() {
		t.Fatal("the servers are not asked at once")
	}
	survey.Answered("server-0", 5, 3)
	if left(survey, "server-0") != -1 {
		t.Error("something is told before another process is heard")
	}
	survey.Evaluate(fresh, none, 40*time.Millisecond)
	if survey.Pending() || left(survey, "server-0") != 5 {
		t.Errorf("%d left behind, want 5", left(survey, "server-0"))
	}
	survey.Answered("server-1", 7, 3)
	if left(survey, "server-1") != 7 {
		t.Errorf("%d left behind by a later answer, want 7", left(survey, "server-1"))
	}
}

// TestProcessThatHearsNobodyCountsAfterAWhile: it may be the first to be back.
func TestProcessThatHearsNobodyCountsAfterAWhile(t *testing.T) {
	survey := begun(1)
	due(survey, 0)
	survey.Answered("server-0", 5, 0)
	for now := time.Duration(0); now < 400*time.Millisecond; now += 20 * time.Millisecond {
		survey.Evaluate(leftbehind.PeerStatus{}, none, now)
	}
	if left(survey, "server-0") != 5 {
		t.Errorf("%d left behind, want 5", left(survey, "server-0"))
	}
}

// TestPlannedRestartOfOneProcessCountsNothing: the others have what the servers tell, and it
// is heard of them only after a while. Each server is asked once.
func TestPlannedRestartOfOneProcessCountsNothing(t *testing.T) {
	survey, questions := begun(12), 0
	counted := func(string) int { return 5 }
	for now := time.Duration(0); now < 5*time.Second; now += 20 * time.Millisecond {
		sight := leftbehind.PeerStatus{}
		if now >= 60*time.Millisecond {
			sight = alive
		}
		survey.Evaluate(sight, counted, now)
		for _, server := range survey.Due(now) {
			questions++
			survey.Answered(server.ID, 6, 0)
		}
		survey.LeftBehind(func(id string, count int) {
			if count > 0 {
				t.Errorf("%d left behind at %s at %v", count, id, now)
			}
		})
	}
	if questions != 12 || !survey.Done() || survey.Counts().LeftBehind != 0 {
		t.Errorf("%d questions, over %v, %d left behind", questions, survey.Done(), survey.Counts().LeftBehind)
	}
}

// TestWhatTheLivingDoNotKnowOfIsLeftBehind where some lived on.
func TestWhatTheLivingDoNotKnowOfIsLeftBehind(t *testing.T) {
	survey := begun(4)
	counted := func(string) int { return 2 }
	for now := time.Duration(0); now < 800*time.Millisecond; now += 20 * time.Millisecond {
		survey.Evaluate(alive, counted, now)
		for _, server := range survey.Due(now) {
			survey.Answered(server.ID, 6, counted(server.ID))
		}
		if now < 300*time.Millisecond && left(survey, "server-0") > 0 {
			t.Fatalf("counted at %v, before the others are heard", now)
		}
	}
	if got := left(survey, "server-0"); got < 3 || got > 4 {
		t.Errorf("%d left behind, want 4 or a little less by then", got)
	}
}

// TestWhatTheLivingTurnOutToHaveIsNotCounted: their loads were not all heard at the first look.
func TestWhatTheLivingTurnOutToHaveIsNotCounted(t *testing.T) {
	survey, questions := begun(4), 0
	for now := time.Duration(0); now < 3*time.Second; now += 20 * time.Millisecond {
		survey.Evaluate(alive, none, now)
		for _, server := range survey.Due(now) {
			questions++
			survey.Answered(server.ID, 6, 5)
		}
		if left(survey, "server-0") > 0 {
			t.Fatalf("%d counted at %v", left(survey, "server-0"), now)
		}
	}
	if questions != 8 || !survey.Done() {
		t.Errorf("%d questions, over %v", questions, survey.Done())
	}
}

// TestOtherThatIsHeardLateTakesTheCountBack: two processes that restart beside a living site
// may hear each other first.
func TestOtherThatIsHeardLateTakesTheCountBack(t *testing.T) {
	survey := begun(1)
	due(survey, 0)
	survey.Answered("server-0", 6, 0)
	survey.Evaluate(fresh, none, 20*time.Millisecond)
	if left(survey, "server-0") != 6 {
		t.Fatal("nothing was counted")
	}
	survey.Evaluate(alive, none, 40*time.Millisecond)
	if left(survey, "server-0") > 0 {
		t.Errorf("%d is still counted", left(survey, "server-0"))
	}
}

// TestWorkIsNotHeldUpWhereTheOthersFallSilent after they were heard once.
func TestWorkIsNotHeldUpWhereTheOthersFallSilent(t *testing.T) {
	survey := begun(2)
	due(survey, 0)
	survey.Answered("server-0", 5, 0)
	survey.Answered("server-1", 5, 0)
	survey.Evaluate(alive, none, 100*time.Millisecond)
	if !survey.Pending() {
		t.Fatal("what the others have is not waited for")
	}
	survey.Evaluate(leftbehind.PeerStatus{}, none, 500*time.Millisecond)
	if survey.Pending() || due(survey, 500*time.Millisecond) != 2 {
		t.Error("it is waited for without an end")
	}
}

// TestWordThatOthersLivedOnIsTakenAndPassedOn: a delegate that has just started tells of loads,
// not of the starts of those that have them.
func TestWordThatOthersLivedOnIsTakenAndPassedOn(t *testing.T) {
	survey := begun(1)
	due(survey, 0)
	survey.Answered("server-0", 6, 0)
	survey.Evaluate(fresh, none, 20*time.Millisecond)
	if survey.ReportSurvivors() {
		t.Fatal("told without word of it")
	}
	told := fresh
	told.SurvivorsReported = true
	survey.Evaluate(told, none, 60*time.Millisecond)
	if left(survey, "server-0") > 0 || !survey.ReportSurvivors() || !survey.Pending() {
		t.Error("the word is not taken")
	}
	for now := 80 * time.Millisecond; now < 3*time.Second; now += 20 * time.Millisecond {
		survey.Evaluate(fresh, func(string) int { return 6 }, now)
		if telling := now < 900*time.Millisecond; survey.ReportSurvivors() != telling || survey.Done() == telling {
			t.Fatalf("at %v told: %v, over: %v", now, survey.ReportSurvivors(), survey.Done())
		}
	}
}

func TestServersThatDoNotAnswerOrAnswerNonsenseCountNothing(t *testing.T) {
	survey := begun(3)
	due(survey, 0)
	survey.Failed("server-0")
	survey.Answered("server-1", 4*slots+1, 0)
	survey.Answered("server-2", -1, 0)
	survey.Answered("unknown", 5, 0)
	for now := time.Duration(0); now < 700*time.Millisecond; now += 20 * time.Millisecond {
		survey.Evaluate(fresh, none, now)
		if due(survey, now) > 0 {
			t.Fatalf("asked again at %v", now)
		}
		for i := range 3 {
			if left(survey, fmt.Sprint("server-", i)) > 0 {
				t.Fatalf("something is counted at server %d", i)
			}
		}
	}
	if !survey.Done() || survey.Counts().Answered != 0 {
		t.Error("the survey goes on")
	}
}

// TestSilentServerHoldsNothingUp: its answer never comes, and neither does word that it does not.
func TestSilentServerHoldsNothingUp(t *testing.T) {
	survey := begun(1)
	due(survey, 0)
	for now := time.Duration(0); now <= 4*time.Second; now += 20 * time.Millisecond {
		survey.Evaluate(fresh, none, now)
		if survey.Pending() && now > 200*time.Millisecond {
			t.Fatal("work waits for it")
		}
	}
	if !survey.Done() {
		t.Error("the survey goes on")
	}
	survey.Answered("server-0", 5, 0)
	if left(survey, "server-0") > 0 {
		t.Error("a late answer counts")
	}
}

// TestWhatWasLeftBehindFallsAndEnds: by what the server tells, and at the latest after some
// seconds at one that tells a high load for good.
func TestWhatWasLeftBehindFallsAndEnds(t *testing.T) {
	survey := begun(2)
	due(survey, 0)
	survey.Answered("server-0", 8, 0)
	survey.Answered("server-1", 8, 0)
	last, over := 8, time.Duration(0)
	for now := time.Duration(0); now < 10*time.Second && !survey.Done(); now += 20 * time.Millisecond {
		survey.Evaluate(fresh, none, now)
		for _, server := range survey.Due(now) {
			if server.ID == "server-0" {
				survey.Answered(server.ID, 9, 8)
			} else {
				survey.Answered(server.ID, 30, 8)
			}
		}
		if now > 1100*time.Millisecond && left(survey, "server-0") > 0 {
			t.Fatalf("%d counted at %v, though the living have what the server tells", left(survey, "server-0"), now)
		}
		if next := max(0, left(survey, "server-1")); next > last {
			t.Fatalf("what was left behind rises from %d to %d", last, next)
		} else {
			last = next
		}
		over = now
	}
	if over > 4*time.Second {
		t.Errorf("a server that tells a high load for good is counted for %v", over)
	}
}

// TestFirstAnswerThatIsLateIsHeldAgainstTheLiving, as those are that came before the look at
// what the living have.
func TestFirstAnswerThatIsLateIsHeldAgainstTheLiving(t *testing.T) {
	survey := begun(2)
	due(survey, 0)
	survey.Answered("server-0", 6, 0)
	for now := time.Duration(0); now <= 420*time.Millisecond; now += 20 * time.Millisecond {
		survey.Evaluate(alive, none, now)
	}
	survey.Answered("server-1", 6, 6)
	if got := left(survey, "server-1"); got != 0 || survey.Counts().LeftBehind != 0 {
		t.Errorf("%d counted of %d that the living have", got, 6)
	}
}

// TestOthersThatAreHeardLateTakeTheCountBack also after the time in which loads settle.
func TestOthersThatAreHeardLateTakeTheCountBack(t *testing.T) {
	for _, sight := range []leftbehind.PeerStatus{{}, fresh} {
		survey := begun(2)
		counted := none
		for now := time.Duration(0); now < 2*time.Second; now += 20 * time.Millisecond {
			if now == 420*time.Millisecond {
				if left(survey, "server-0") < 5 {
					t.Fatal("nothing was counted before")
				}
				sight, counted = alive, func(string) int { return 6 }
			}
			survey.Evaluate(sight, counted, now)
			for _, server := range survey.Due(now) {
				survey.Answered(server.ID, 6, counted(server.ID))
			}
			if now >= 420*time.Millisecond && left(survey, "server-0") > 0 {
				t.Fatalf("%d still counted at %v", left(survey, "server-0"), now)
			}
		}
		if !survey.Done() || survey.Counts().LeftBehind != 0 {
			t.Errorf("over %v, %d left behind", survey.Done(), survey.Counts().LeftBehind)
		}
	}
}

// TestWordOfOthersThatComesLateTakesNothingBack: a machine that is back later than the rest
// takes these for such as lived on, and says so.
func TestWordOfOthersThatComesLateTakesNothingBack(t *testing.T) {
	survey := begun(1)
	due(survey, 0)
	survey.Answered("server-0", 8, 0)
	word := fresh
	word.SurvivorsReported = true
	for now := time.Duration(0); now < 900*time.Millisecond; now += 20 * time.Millisecond {
		sight := fresh
		if now > 400*time.Millisecond {
			sight = word
		}
		survey.Evaluate(sight, func(string) int { return 8 }, now)
	}
	if got := left(survey, "server-0"); got < 6 {
		t.Errorf("%d left behind, want 6 or more by then", got)
	}
}

// TestMachineThatIsBackLaterThanTheRestCountsNothingOfTheirs: what these have sent since is in
// what servers tell. So it is where machines are restarted one after the other.
func TestMachineThatIsBackLaterThanTheRestCountsNothingOfTheirs(t *testing.T) {
	for _, later := range []int64{600, 1000, 1500} {
		survey := begun(4)
		rest := leftbehind.PeerStatus{Heard: true, EarliestStart: started - later}
		counted := func(string) int { return 6 }
		for now := time.Duration(0); now < 2*time.Second; now += 20 * time.Millisecond {
			survey.Evaluate(rest, counted, now)
			for _, server := range survey.Due(now) {
				survey.Answered(server.ID, 6, counted(server.ID))
			}
			if got := left(survey, "server-0"); got > 0 {
				t.Fatalf("back %d ms after the rest: %d counted at %v", later, got, now)
			}
		}
		if survey.Counts().LeftBehind != 0 {
			t.Errorf("back %d ms after the rest: %d left behind", later, survey.Counts().LeftBehind)
		}
	}
}

// TestWorkIsNotHeldUpWhereServersHaveNothing, beside others that lived on.
func TestWorkIsNotHeldUpWhereServersHaveNothing(t *testing.T) {
	survey := begun(3)
	due(survey, 0)
	survey.Answered("server-0", 0, 0)
	survey.Answered("server-1", 3, 0)
	survey.Evaluate(alive, none, 20*time.Millisecond)
	if !survey.Pending() {
		t.Fatal("the last server is not waited for")
	}
	survey.Failed("server-2")
	survey.Evaluate(alive, none, 40*time.Millisecond)
	if survey.Pending() || left(survey, "server-1") > 0 {
		t.Error("work waits for loads that change nothing")
	}
}
