// Package leftbehind finds out what servers still run for callers that are gone. A machine
// that loses power tells nobody; its servers go on with what it sent them, while the load
// digests of its processes are forgotten or replaced by those of their next lives, which say
// zero. So a process that has just started has a few servers asked for their load, counts
// what no living process has there as left behind, tells the others of it, and has it asked
// again until it is over. The package is pure: times are durations since an origin of the
// caller's choice.
package leftbehind

import (
	"math"
	"slices"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/ownership"
)

// Tuning.
const (
	// askers is how many processes ask each server: one may not have come back yet, or end
	// before it has told the others.
	askers = 2
	// mostAsked bounds the servers that one process asks, where few processes have many.
	mostAsked = 64
	// freshFor is how far apart the starts of processes may be that lost power together:
	// machines come back over some tenths of a second. In longer time those that are back send
	// requests, which would count twice as left behind at servers that tell of them.
	freshFor = 500 * time.Millisecond
	// hearWithin is how long a process waits for word of any other before what servers tell
	// counts without it. A process whose load has changed is heard within two turns of digests
	// in a mesh (loadshare.meshInterval); one with the same load repeats its digest only after
	// loadshare.repeatInterval and a turn, and what was counted is compared with its load then.
	hearWithin = 160 * time.Millisecond
	// settleFor is how soon a process that starts beside others takes what it has heard for
	// what these have at the servers: their digests of the first tenths of a second. Where the
	// stores lose power and the routers live on, 0.03 to 0.05 of the first events are late in
	// virtual time instead of 0.07 to 0.13 (balance.TestRequestsAfterALossOfAllStores...).
	settleFor = 400 * time.Millisecond
	// tellFor is how long after its start a process tells others that some have lived on. One
	// that starts by freshFor later takes it for new, and takes the word until settleFor after
	// its own start; later ones see by themselves that others lived on.
	tellFor = freshFor + settleFor
	// unknownPart is the part of what servers tell that has to be unknown to the living where
	// some lived on, and leastUnknown the least of it: reports and digests are of different
	// moments, so that a few requests always differ.
	unknownPart  = 0.25
	leastUnknown = 4
	// askAgain is the time between questions to a server at which something was left behind,
	// and mostQuestions how many there are, beside one that is to make sure. The second one
	// finds out where short runs were left, as of streams, or where too much was counted. Each
	// further one takes what its answer counts too little for good: asked each 0.4 s until it
	// was over, 0.02 to 0.03 of the first events were late in virtual time, with two questions
	// 0.011 to 0.015 (balance.TestRequestsAfterALossOfAllProcessesGoWhereThereIsRoom).
	askAgain      = time.Second
	mostQuestions = 2
	// leastLeft is how much a server must tell beyond what the living have there: reports and
	// digests differ by one request as often as not.
	leastLeft = 2
	// leftFor is how long after its start a process counts what was left behind. Runs of
	// batch work last for two to three seconds, on slow servers longer; a server that tells a
	// high load for good must come back into use.
	leftFor = 4 * time.Second
	// mostPerSlot bounds what is believed: a server queues a few requests beside those that it
	// runs, and what tells of more is no load.
	mostPerSlot = 4
)

// Server is one that can be asked.
type Server struct {
	ID      string
	Address string
	Slots   int
}

// PeerStatus is what a process has heard of the others since its start.
type PeerStatus struct {
	// Heard tells that another process told its load.
	Heard bool
	// EarliestStart is the earliest start of those that did, in Unix milliseconds.
	EarliestStart int64
	// SurvivorsReported tells that another process which has just started said that it heard of some that
	// have not: delegates that are new tell of the loads of others, not of their starts.
	SurvivorsReported bool
}

// Survey is what one process asks after its start, and what came of it. It belongs to one
// goroutine at a time.
type Survey struct {
	// started is this life's start in Unix milliseconds.
	started int64
	began   time.Duration
	begun   bool
	stage   stage
	asked   map[string]*asked
	counts  Counts
	// lived tells that some others have lived on, compared that what they have was held against
	// what servers told, and elapsed how long the survey runs.
	lived    bool
	compared bool
	elapsed  time.Duration
}

// Counts are those of a survey since its start.
type Counts struct {
	// Asked is how many questions were put, and Answered how many had an answer.
	Asked    int
	Answered int
	// LeftBehind is how many requests were found left behind at first.
	LeftBehind int
}

// stage is how far a survey is.
type stage int

const (
	// listening: nothing is known of the other processes.
	listening stage = iota
	// beside: some others lived on, and what they have is still being heard.
	beside
	// counting: what is left behind is counted, and asked for again.
	counting
	// over: nothing is left.
	over
)

// asked is a server that this process asks.
type asked struct {
	Server
	// told is what the server told first; known tells that it did.
	told  int
	known bool
	// left is what was left behind there, and most what it may be at most. Where it is unsure
	// the server is asked once more before anything counts.
	left   int
	most   int
	unsure bool
	// at is when it was asked last, and open that the answer is awaited.
	at        time.Duration
	questions int
	open      bool
}

// New returns the survey of a process whose life began at the given time in Unix milliseconds.
func New(startedUnixMs int64) *Survey {
	return &Survey{started: startedUnixMs, asked: make(map[string]*asked)}
}

// Start takes the servers of the first directory after the start, and the names of the
// processes that ask. Servers that come later have nothing of earlier lives. Only the first
// call counts.
func (s *Survey) Start(self string, processes []string, servers []Server, now time.Duration) {
	if s.begun {
		return
	}
	s.begun, s.began = true, now
	for _, server := range servers {
		if server.Slots == 0 || len(s.asked) >= mostAsked {
			continue
		}
		order := ownership.Order(processes, server.ID)
		if slices.Contains(order[:min(askers, len(order))], self) {
			s.asked[server.ID] = &asked{Server: server}
		}
	}
	if len(s.asked) == 0 {
		s.stage = over
	}
}

// Due returns the servers to be asked now; they count as asked then. Each of them is answered
// by Answered or Missed.
func (s *Survey) Due(now time.Duration) []Server {
	var due []Server
	for _, each := range s.asked {
		if each.open || s.stage == over || (each.questions > 0 && !s.again(each, now)) {
			continue
		}
		each.at, each.open = now, true
		if !each.unsure {
			each.questions++
		}
		due = append(due, each.Server)
		s.counts.Asked++
	}
	slices.SortFunc(due, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return due
}

// again tells whether a server is to be asked once more.
func (s *Survey) again(each *asked, now time.Duration) bool {
	if s.stage != counting {
		return false
	}
	return each.unsure || (each.left > 0 && each.questions < mostQuestions && now-each.at >= askAgain)
}

// Answered takes how many requests a server told to have, running and waiting, and how many
// all living processes count there now. What was left behind at a server only ever falls,
// unless others are heard later that lived on.
func (s *Survey) Answered(id string, told, counted int) {
	each := s.answering(id)
	if each == nil {
		return
	}
	if told < 0 || told > mostPerSlot*each.Slots {
		each.unsure = false
		return
	}
	s.counts.Answered++
	if !each.known {
		each.told, each.known = told, true
		switch {
		case s.stage != counting:
		case s.lived:
			s.count(each, unknown(told, counted))
		default:
			s.count(each, told)
		}
		return
	}
	before := each.left
	each.left = min(each.most, unknown(told, counted))
	if each.unsure {
		each.unsure = false
		s.counts.LeftBehind += each.left
		return
	}
	each.left = min(before, each.left)
}

// Failed takes that a server gave no answer that can be read. What it told before counts on,
// less and less; where it was unsure nothing does.
func (s *Survey) Failed(id string) {
	if each := s.answering(id); each != nil {
		each.unsure = false
	}
}

func (s *Survey) answering(id string) *asked {
	each := s.asked[id]
	if each == nil || !each.open {
		return nil
	}
	each.open = false
	return each
}

// unknown is what a server tells beyond what the living have there; nothing where it is little.
func unknown(told, counted int) int {
	if told-counted < leastLeft {
		return 0
	}
	return told - counted
}

// count has what a server told first count as left behind.
func (s *Survey) count(each *asked, left int) {
	each.left, each.most = left, left
	s.counts.LeftBehind += left
}

// Evaluate takes what was heard of the others, and how many requests all living processes count
// at a server. Call it some times a tenth of a second until Over.
//
// Where all that are heard have just started too, all that servers told is left behind: it is
// of a moment before any of them sent a request. Where some lived on, it is what they do not
// know of, once their loads are heard, and by a second answer: the first one is of a moment
// before that. It is nothing where that is little, as after the planned restart of a process.
//
// Others that lived on may be heard only after their loads should have been: what was counted
// is compared with these then. The word of others that some lived on is no longer taken by that
// time, as machines that are back later than the rest say so of the rest.
func (s *Survey) Evaluate(sight PeerStatus, counted func(id string) int, now time.Duration) {
	if !s.begun {
		return
	}
	elapsed := now - s.began
	settled := elapsed >= settleFor
	older := sight.Heard && s.started-sight.EarliestStart > freshFor.Milliseconds()
	old := older || (sight.SurvivorsReported && !settled)
	s.elapsed, s.lived = elapsed, s.lived || old
	if s.stage == over {
		return
	}
	switch {
	case elapsed >= leftFor:
		s.end()
	case old && !settled:
		s.withdraw()
		if s.toldLittle() {
			s.end()
		}
	case settled && !s.compared && (older || s.stage == beside):
		s.withdraw()
		s.compare(counted)
	case s.stage == listening && (sight.Heard || elapsed >= hearWithin):
		s.stage = counting
		for _, each := range s.asked {
			s.count(each, each.told)
		}
	}
	s.decay(elapsed)
	s.finish(elapsed)
}

// decay has what was left behind end evenly over the time that runs may last.
func (s *Survey) decay(elapsed time.Duration) {
	rest := 1 - float64(elapsed)/float64(leftFor)
	for _, each := range s.asked {
		each.left = min(each.left, int(math.Ceil(float64(each.most)*rest)))
	}
}

// withdraw takes back what was counted: some others live, and their loads are still to come.
func (s *Survey) withdraw() {
	if s.stage == counting {
		s.counts.LeftBehind = 0
	}
	s.stage = beside
	for _, each := range s.asked {
		each.left = 0
	}
}

// toldLittle tells whether all servers were asked, none is awaited, and all that they told is
// so little that what others have there changes nothing.
func (s *Survey) toldLittle() bool {
	sum := 0
	for _, each := range s.asked {
		if each.open || each.questions == 0 {
			return false
		}
		sum += each.told
	}
	return sum < leastUnknown
}

// compare has those servers asked once more that told of requests which the living do not
// know of, unless that is little.
func (s *Survey) compare(counted func(id string) int) {
	s.stage, s.compared = counting, true
	told, sum := 0, 0
	for id, each := range s.asked {
		each.most = unknown(each.told, counted(id))
		each.unsure = each.most > 0
		told += each.told
		sum += each.most
	}
	if sum < leastUnknown || float64(sum) < unknownPart*float64(told) {
		s.end()
	}
}

// finish ends the survey once nothing is left and no answer is awaited.
func (s *Survey) finish(elapsed time.Duration) {
	if s.stage != counting || elapsed < settleFor {
		return
	}
	for _, each := range s.asked {
		if each.open || each.left > 0 || each.unsure {
			return
		}
	}
	s.end()
}

func (s *Survey) end() {
	s.stage = over
	for _, each := range s.asked {
		each.left = 0
	}
}

// Done tells whether nothing is asked or told any more.
func (s *Survey) Done() bool { return s.begun && s.stage == over && !s.ReportSurvivors() }

// ReportSurvivors tells whether the others are to be told that some have lived on: those that start at
// about the same time take it.
func (s *Survey) ReportSurvivors() bool { return s.lived && s.elapsed < tellFor }

// Pending tells whether it is not known yet what was left behind: work that can wait does.
func (s *Survey) Pending() bool { return s.begun && (s.stage == listening || s.stage == beside) }

// LeftBehind lists what was left behind at the servers that answered, in no order, also those where
// that is nothing: another process may have been told more.
func (s *Survey) LeftBehind(visit func(id string, left int)) {
	if s.stage != counting {
		return
	}
	for id, each := range s.asked {
		if each.known {
			visit(id, each.left)
		}
	}
}

// Counts tells what was asked and found since the start.
func (s *Survey) Counts() Counts { return s.counts }
