package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of fault.
const (
	// KindKill kills a process without warning and starts it again.
	KindKill Kind = "kill"
	// KindTornWrite kills a process with a disk and leaves a torn write at the end of its
	// log.
	KindTornWrite Kind = "tear"
	// KindWipeDisk kills a process with a disk and empties it.
	KindWipeDisk Kind = "wipe"
	// KindPause stops a process for a while without its noticing.
	KindPause Kind = "pause"
	// KindStop stops a process as planned and starts it again.
	KindStop Kind = "stop"
	// KindKillAll kills all processes of a role, or all of the site, at once.
	KindKillAll Kind = "kill all"
	// KindDelay delays all that a process is sent and sends back.
	KindDelay Kind = "delay"
	// KindReset breaks the connections to a process off.
	KindReset Kind = "reset"
	// KindDropInbound drops what a process is sent, KindAnswers what it answers, and
	// KindSilence both.
	KindDropInbound  Kind = "cut toward"
	KindDropOutbound Kind = "cut answers"
	KindDropAll Kind = "silence"
	// KindServerKill kills a back end; another incarnation takes its address.
	KindServerKill Kind = "server kill"
	// KindServerLateReports kills a back end twice; the reports of the incarnation between come
	// late, when the next one is known already.
	KindServerLateReports Kind = "server reborn"
	// KindServerDrain drains a back end.
	KindServerDrain Kind = "server leave"
	// KindServerDelay, KindServerReset and KindServerSilence harm a back end's link.
	KindServerDelay   Kind = "server delay"
	KindServerReset   Kind = "server reset"
	KindServerDropAll Kind = "server silence"
)

// Kinds lists all kinds.
func Kinds() []Kind {
	return []Kind{
		KindKill, KindTornWrite, KindWipeDisk, KindPause, KindStop, KindKillAll, KindDelay, KindReset, KindDropInbound, KindDropOutbound, KindDropAll,
		KindServerKill, KindServerLateReports, KindServerDrain, KindServerDelay, KindServerReset, KindServerDropAll,
	}
}

// Fault is one fault of a plan.
type Fault struct {
	kind   Kind
	at     time.Duration
	length time.Duration
	// target is a number to choose the process or back end with.
	target int
}

// Kind is the fault's kind.
func (f Fault) Kind() Kind { return f.kind }

// At is when it strikes, and End when what it harms runs again.
func (f Fault) At() time.Duration { return f.at }

// End is when what the fault harms runs again.
func (f Fault) End() time.Duration { return f.at + f.length }

// Target is a number to choose the process or back end with.
func (f Fault) Target() int { return f.target }

// Bounds of a plan.
const (
	shortestGap = 150 * time.Millisecond
	longestGap  = 1800 * time.Millisecond
	shortest    = 200 * time.Millisecond
	longest     = 3500 * time.Millisecond
	// settling is how long a process that was harmed needs until the next one with a
	// disk may be lost: a site bears one at a time.
	settling = 5 * time.Second
)

// onDisk are the kinds that make a process with a disk count as lost, if they strike
// one.
var onDisk = []Kind{KindKill, KindTornWrite, KindWipeDisk, KindPause, KindStop, KindDelay, KindReset, KindDropInbound, KindDropOutbound, KindDropAll}

// NewPlan draws the faults of a soak that lasts so long. Faults on processes with a
// disk do not overlap, and leave each other time to settle; others may come at any
// moment.
func NewPlan(seed uint64, lasts time.Duration, kinds []Kind) []Fault {
	random := rand.New(rand.NewPCG(seed, uint64(len("faults"))))
	var plan []Fault
	var free time.Duration
	for at := between(random, shortestGap, longestGap); at < lasts; at += between(random, shortestGap, longestGap) {
		fault := Fault{
			kind: kinds[random.IntN(len(kinds))], at: at,
			length: between(random, shortest, longest), target: random.IntN(1 << 16),
		}
		if slices.Contains(onDisk, fault.kind) || fault.kind == KindKillAll {
			if at < free {
				continue
			}
			free = fault.End() + settling
		}
		plan = append(plan, fault)
	}
	return plan
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}
