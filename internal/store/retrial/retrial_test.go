package retrial_test

import (
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/store/retrial"
)

// fleet simulates a store that has held items only, and its servers.
type fleet struct {
	now      time.Time
	register *directory.Directory
	tracker  *retrial.Tracker
	started  int
	servers  []string
	crashes  int
	items    []*item
}

// item is an item that is held for a content of its own.
type item struct {
	keys   []fingerprint.Fingerprint
	deadly bool
	done   bool
	trial  *retrial.Trial
	server string
	until  time.Time
	runs   int
}

const (
	step    = 100 * time.Millisecond
	runTime = 5 * time.Second
	// crashTime is how long a deadly item runs.
	crashTime = 200 * time.Millisecond
)

func newFleet(servers, items int, deadly bool) *fleet {
	f := &fleet{now: time.UnixMilli(1_000_000), register: directory.New(), tracker: retrial.NewTracker(0.5)}
	for position := range servers {
		f.servers = append(f.servers, "")
		f.restart(position)
	}
	for number := range items {
		content := fingerprint.Of(fingerprint.Content{Target: fmt.Sprint("item-", number)})
		f.items = append(f.items, &item{keys: []fingerprint.Fingerprint{content}, deadly: deadly})
	}
	return f
}

// restart lets another incarnation report at the address of a server.
func (f *fleet) restart(position int) {
	f.started++
	before := f.servers[position]
	f.servers[position] = fmt.Sprint("server-", f.started)
	command := &rockwindpb.DirectoryCommand{NowUnixMs: f.now.UnixMilli(), Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
		Id: f.servers[position], Service: "app", Address: fmt.Sprintf("10.0.0.%d:1", position+1), Slots: 1,
		State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: 1,
	}}}
	if before != "" {
		command.Succession = &rockwindpb.Succession{Ended: []string{before}}
	}
	f.register.Apply(command)
}

// crash ends a server and the items that run there.
func (f *fleet) crash(position int) {
	f.crashes++
	for _, each := range f.items {
		if each.trial != nil && each.server == f.servers[position] {
			f.tracker.End(each.trial, each.server, retrial.Crashed, f.now)
			each.trial = nil
		}
	}
	f.restart(position)
}

// advance runs the store and its servers for a time.
func (f *fleet) advance(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(step) {
		f.tracker.Observe(f.register.View(), f.now)
		for number, each := range f.items {
			switch {
			case each.done:
			case each.trial == nil:
				if each.trial = f.tracker.Grant(each.keys, f.now); each.trial == nil {
					continue
				}
				each.runs++
				f.tracker.Start(each.trial)
				each.server, each.until = f.servers[number%len(f.servers)], f.now.Add(runTime)
				if each.deadly {
					each.until = f.now.Add(crashTime)
				}
			case f.now.Before(each.until):
			case each.deadly:
				f.crash(number % len(f.servers))
			default:
				each.done = true
				f.tracker.End(each.trial, each.server, retrial.Succeeded, f.now)
			}
		}
	}
}

// Guards against items that were only beside several crashes and wait for minutes although all is calm.
func TestUnluckyItemsRunSoonAfterCalm(t *testing.T) {
	f := newFleet(18, 8, false)
	for range 3 {
		for wave := range 5 {
			for position := range 6 {
				f.crash((6*wave + position) % 18)
			}
			f.advance(400 * time.Millisecond)
		}
		f.advance(4 * time.Second)
	}
	f.advance(8 * time.Second)
	for number, each := range f.items {
		if each.runs == 0 {
			t.Errorf("item %d was not placed within 8 s of calm", number)
		}
	}
	f.advance(12 * time.Second)
	for number, each := range f.items {
		if !each.done {
			t.Errorf("item %d is not done within 20 s of calm", number)
		}
	}
}

// Guards against held items that crash one server after the other, alone or many at once.
func TestCrashingItemsAreTriedLessAndLessOften(t *testing.T) {
	for _, items := range []int{1, 8, 40} {
		f := newFleet(60, items, true)
		f.advance(10 * time.Minute)
		if limit := 4 * items; f.crashes > limit || f.crashes == 0 {
			t.Errorf("%d items crashed %d servers in ten minutes, want at most %d", items, f.crashes, limit)
		}
		for number, each := range f.items {
			if each.runs > 4 {
				t.Errorf("item %d of %d ran %d times", number, items, each.runs)
			}
		}
	}
}

// Guards against trials in a burst of crashes, which would only cost the servers' work.
func TestNothingIsTriedWhileServersCrash(t *testing.T) {
	f := newFleet(18, 8, false)
	for range 30 {
		f.advance(2 * time.Second)
		f.crash(f.crashes % 18)
	}
	for number, each := range f.items {
		if each.runs > 0 {
			t.Errorf("item %d was tried %d times", number, each.runs)
		}
	}
}

// Guards against a shared part that several items try at the same time.
func TestOneItemTriesASharedPart(t *testing.T) {
	f := newFleet(18, 8, true)
	part := fingerprint.Of(fingerprint.Content{Target: "part"})
	for _, each := range f.items {
		each.keys = append(each.keys, part)
	}
	f.advance(15 * time.Second)
	if f.crashes != 1 {
		t.Errorf("items with one part crashed %d servers in 15 s", f.crashes)
	}
}

// Guards against items that wait for a trial that got no server before another server crashed.
func TestTrialWithoutAServerIsWithdrawn(t *testing.T) {
	f := newFleet(4, 1, false)
	keys := f.items[0].keys
	f.items = nil
	f.advance(10 * time.Second)
	trial := f.tracker.Grant(keys, f.now)
	if trial == nil || !f.tracker.Valid(trial, f.now) {
		t.Fatal("no trial although all is calm")
	}
	f.crash(0)
	f.advance(step)
	if f.tracker.Valid(trial, f.now) {
		t.Error("the trial may start right after a crash")
	}
	f.tracker.Withdraw(trial)
	f.advance(6 * time.Second)
	if f.tracker.Grant(keys, f.now) == nil {
		t.Error("no trial 6 s after the crash")
	}
}
