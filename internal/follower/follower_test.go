package follower

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/bench/mutant"
	"rockwind.example/rockwind/internal/catalog"
	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// controlReplica answers at once from one state of the root group, or with a
// prepared answer, such as one to an older call.
type controlReplica struct {
	rockwindpb.ConfigurationService
	view     *catalog.View
	prepared *rockwindpb.ConfigurationChange
}

func (c *controlReplica) Watch(_ context.Context, request *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
	if c.prepared != nil {
		return &rockwindpb.WatchConfigurationResponse{Change: c.prepared}, nil
	}
	if request.GetFull() && c.view.Index().Number() >= request.GetHaveNumber() {
		return &rockwindpb.WatchConfigurationResponse{Change: c.view.Full()}, nil
	}
	return &rockwindpb.WatchConfigurationResponse{Change: c.view.ChangeSince(request.GetHaveNumber(), request.GetHaveChecksum())}, nil
}

// world is control, one daemon with its disk, and what must hold of them.
type world struct {
	folder   string
	machine  *catalog.Machine
	views    []*catalog.View
	answers  []*rockwindpb.ConfigurationChange
	control  *controlReplica
	follower *Follower
	hooks    hooks
	highest  uint64
}

func newWorld(t *rapid.T, broken hooks) *world {
	folder, err := os.MkdirTemp("", "follower")
	if err != nil {
		t.Fatal(err)
	}
	machine := catalog.New()
	w := &world{folder: folder, machine: machine, views: []*catalog.View{machine.View()}, control: &controlReplica{view: machine.View()}, hooks: broken}
	w.start(t)
	return w
}

// start starts the daemon on what its disk holds.
func (w *world) start(t *rapid.T) {
	started, err := New(Options{
		Sources: []rockwindpb.ConfigurationService{w.control}, Folder: w.folder,
		Log: &log.Logger{Handler: discard.New()}, Random: rand.New(rand.NewPCG(1, 2)),
	})
	if err != nil {
		t.Fatal(err)
	}
	// Three changes or so to a whole configuration.
	started.store.shortJournal = 300
	started.hooks = w.hooks
	w.follower = started
}

// Accept accepts one more configuration.
func (w *world) Accept(t *rapid.T) {
	before := w.machine.View().Index()
	next := &rockwindpb.Configuration{Number: before.Number() + 1}
	for number := range rapid.IntRange(1, 12).Draw(t, "groups") {
		share := rapid.SampledFrom([]float64{1, 2}).Draw(t, "share")
		next.Groups = append(next.Groups, &rockwindpb.Group{Name: fmt.Sprintf("group-%d", number), Share: share})
	}
	configuration.Normalise(next)
	index, err := configuration.NewIndex(next)
	if err != nil {
		t.Fatal(err)
	}
	change := configuration.Between(before, index)
	command, err := proto.Marshal(&rockwindpb.CatalogCommand{Change: change})
	if err != nil {
		t.Fatal(err)
	}
	w.machine.Apply(0, command)
	w.views = append(w.views, w.machine.View())
	w.answers = append(w.answers, change)
}

// Ask lets the daemon ask the newest replica, or one that was cut off long ago.
func (w *world) Ask(t *rapid.T) {
	w.control.view = w.views[len(w.views)-1]
	if rapid.IntRange(0, 2).Draw(t, "cut off") == 0 {
		w.control.view = rapid.SampledFrom(w.views).Draw(t, "view")
	}
	w.step(nil)
}

// Late gives the daemon an answer to any earlier call, or a damaged one.
func (w *world) Late(t *rapid.T) {
	if len(w.answers) == 0 {
		t.Skip("no answers yet")
	}
	late := proto.CloneOf(rapid.SampledFrom(w.answers).Draw(t, "answer"))
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		late = rapid.SampledFrom(w.views).Draw(t, "whole").Full()
	case 1:
		late.Checksum[0] ^= 1
	}
	w.step(late)
}

func (w *world) step(prepared *rockwindpb.ConfigurationChange) {
	w.control.prepared = prepared
	w.follower.step(context.Background())
	w.highest = max(w.highest, w.follower.Current().Number())
}

// Restart starts the daemon again, perhaps after it was killed in the middle of a
// write of a change that was not in force.
func (w *world) Restart(t *rapid.T) {
	if torn := w.follower.store.changes; torn != nil && rapid.Bool().Draw(t, "torn") {
		tear(t, torn.path)
	}
	w.restart(t)
}

// DamageNewest changes bytes of the newest whole configuration, of which an older
// one and its changes are there.
func (w *world) DamageNewest(t *rapid.T) {
	const changesToTwoWholes = 8
	for range changesToTwoWholes {
		w.Accept(t)
		w.control.view = w.views[len(w.views)-1]
		w.step(nil)
	}
	numbers := w.follower.store.numbers()
	if len(numbers) < 2 || !(&store{folder: w.folder}).leadsTo(numbers[1], numbers[0]) {
		t.Skip("one way to the newest configuration")
	}
	damage(t, w.follower.store.path(numbers[0]))
	w.restart(t)
}

// DamageChanges changes bytes of the changes since the newest whole configuration.
// The daemon comes back with one that was accepted, which may be an older one.
func (w *world) DamageChanges(t *rapid.T) {
	changes := w.follower.store.changes
	if changes == nil || changes.bytes == 0 {
		t.Skip("no changes")
	}
	damage(t, changes.path)
	w.start(t)
	w.highest = w.follower.Current().Number()
}

func damage(t *rapid.T, path string) {
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	content[rapid.IntRange(0, len(content)-1).Draw(t, "byte")] ^= 0x10
	if err := os.WriteFile(path, content, filePermissions); err != nil {
		t.Fatal(err)
	}
}

// leadsTo tells whether the changes after one whole configuration reach another.
func (s *store) leadsTo(base, number uint64) bool {
	index, err := s.read(base)
	return err == nil && newJournal(s.folder, base).replay(index).Number() == number
}

// RefuseWrites lets the disk refuse a change, and starts the daemon again.
func (w *world) RefuseWrites(t *rapid.T) {
	w.control.view = w.views[len(w.views)-1]
	whole := w.follower.store
	w.follower.store = &store{folder: filepath.Join(w.folder, "missing")}
	w.step(nil)
	w.follower.store = whole
	w.restart(t)
}

func (w *world) restart(t *rapid.T) {
	before := w.follower.Current()
	w.start(t)
	if !bytes.Equal(w.follower.Current().Checksum(), before.Checksum()) {
		t.Fatalf("configuration %d was in force before the restart, and %d after it", before.Number(), w.follower.Current().Number())
	}
}

func tear(t *rapid.T, path string) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, filePermissions)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if _, err := file.Write([]byte{200, 1, 8, 3}); err != nil {
		t.Fatal(err)
	}
}

// Check is called after each action.
func (w *world) Check(t *rapid.T) {
	current := w.follower.Current()
	if current.Number() < w.highest {
		t.Fatalf("configuration %d is in force after %d", current.Number(), w.highest)
	}
	if !bytes.Equal(current.Checksum(), w.views[current.Number()].Index().Checksum()) {
		t.Fatalf("configuration %d is not the one that was accepted", current.Number())
	}
}

// run drives a daemon through arbitrary answers, restarts and damage.
func run(t *rapid.T, broken hooks) {
	w := newWorld(t, broken)
	defer os.RemoveAll(w.folder)
	t.Repeat(rapid.StateMachineActions(w))
	w.control.view = w.views[len(w.views)-1]
	// A change that does not fit is followed by a request for the whole.
	w.step(nil)
	w.step(nil)
	if newest := w.views[len(w.views)-1].Index().Number(); w.follower.Current().Number() != newest {
		t.Fatalf("configuration %d is in force, and %d was accepted", w.follower.Current().Number(), newest)
	}
}

// TestMain fixes the seed, so that each run gives the same verdict. Flags on the
// command line go before.
func TestMain(m *testing.M) {
	for _, setting := range [][2]string{
		{"rapid.seed", "20261202"}, {"rapid.checks", "50"}, {"rapid.steps", "30"}, {"rapid.nofailfile", "true"},
	} {
		if err := flag.Set(setting[0], setting[1]); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestFollowerNeverMovesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { run(t, hooks{}) })
}

func TestDefectsAreNoticed(t *testing.T) {
	for name, broken := range map[string]hooks{
		"accept a lower number": {acceptLower: true},
		"in force before saved": {forceFirst: true},
	} {
		t.Run(name, func(t *testing.T) {
			if !mutant.Noticed(t, func(t *rapid.T) { run(t, broken) }) {
				t.Error("the property holds for a follower that is broken on purpose")
			}
		})
	}
}
