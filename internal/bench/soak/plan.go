package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

type Kind string

const (
	// KindKill kills a process and restarts it.
	KindKill Kind = "kill"
	// KindTornWrite kills a process with a disk and appends a torn write to its log.
	KindTornWrite Kind = "tear"
	// KindWipeDisk kills a process with a disk and deletes its data.
	KindWipeDisk Kind = "wipe"
	// KindPause suspends a process for a while.
	KindPause Kind = "pause"
	// KindStop stops a process gracefully and restarts it.
	KindStop Kind = "stop"
	// KindKillAll kills all processes of a role, or of the whole site, at once.
	KindKillAll Kind = "kill all"
	// KindWipeAndKillAll kills all processes at once and wipes one disk. It occurs beside zone drains only.
	KindWipeAndKillAll Kind = "wipe and kill all"
	// KindDelay delays the traffic of a process in both directions.
	KindDelay Kind = "delay"
	// KindReset resets the connections to a process.
	KindReset Kind = "reset"
	// KindDropInbound drops traffic to a process, KindDropOutbound its responses, and
	// KindDropAll both.
	KindDropInbound  Kind = "cut toward"
	KindDropOutbound Kind = "cut answers"
	KindDropAll      Kind = "silence"
	// KindGone ends a process with a disk for good; another one comes with an empty disk. It occurs in series of
	// replacements only.
	KindGone Kind = "gone"
	// KindServerKill kills a backend; a new incarnation starts at the same address.
	KindServerKill Kind = "server kill"
	// KindServerLateReports restarts a backend; reports of an incarnation in between arrive
	// after those of its successor.
	KindServerLateReports Kind = "server reborn"
	// KindServerDrain drains a backend and replaces it.
	KindServerDrain Kind = "server leave"
	// KindServerDelay, KindServerReset and KindServerDropAll impair the link to a backend.
	KindServerDelay   Kind = "server delay"
	KindServerReset   Kind = "server reset"
	KindServerDropAll Kind = "server silence"
)

// Kinds lists all kinds of fault.
func Kinds() []Kind {
	return []Kind{
		KindKill, KindTornWrite, KindWipeDisk, KindPause, KindStop, KindKillAll, KindDelay, KindReset, KindDropInbound, KindDropOutbound, KindDropAll,
		KindServerKill, KindServerLateReports, KindServerDrain, KindServerDelay, KindServerReset, KindServerDropAll,
	}
}

// Fault is one planned fault.
type Fault struct {
	kind     Kind
	at       time.Duration
	duration time.Duration
	// target selects the process or backend, modulo the number of candidates.
	target int
}

func (f Fault) Kind() Kind { return f.kind }

// At is when the fault starts.
func (f Fault) At() time.Duration { return f.at }

// End is when the fault ends.
func (f Fault) End() time.Duration { return f.at + f.duration }

// Target selects the process or backend, modulo the number of candidates.
func (f Fault) Target() int { return f.target }

const (
	minimumGap      = 150 * time.Millisecond
	maximumGap      = 1800 * time.Millisecond
	minimumDuration = 200 * time.Millisecond
	maximumDuration = 3500 * time.Millisecond
	// settleTime is the recovery time that a process with a disk needs before the next one
	// may fail: the site tolerates the loss of one at a time.
	settleTime = 5 * time.Second
)

// diskKinds are the kinds that may make a process with a disk unavailable.
var diskKinds = []Kind{KindKill, KindTornWrite, KindWipeDisk, KindPause, KindStop, KindDelay, KindReset, KindDropInbound, KindDropOutbound, KindDropAll}

// NewPlan draws the faults of a soak of the given duration. Faults that may affect a process
// with a disk don't overlap and are at least settleTime apart; others start at any time.
func NewPlan(seed uint64, duration time.Duration, kinds []Kind) []Fault {
	random := rand.New(rand.NewPCG(seed, uint64(len("faults"))))
	var plan []Fault
	var free time.Duration
	for at := between(random, minimumGap, maximumGap); at < duration; at += between(random, minimumGap, maximumGap) {
		fault := Fault{
			kind: kinds[random.IntN(len(kinds))], at: at,
			duration: between(random, minimumDuration, maximumDuration), target: random.IntN(1 << 16),
		}
		if slices.Contains(diskKinds, fault.kind) || fault.kind == KindKillAll || fault.kind == KindWipeAndKillAll {
			if at < free {
				continue
			}
			free = fault.End() + settleTime
		}
		plan = append(plan, fault)
	}
	return plan
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}
