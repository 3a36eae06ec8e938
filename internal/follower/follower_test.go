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

// controlReplica answers at once with the state of one view, or with a prepared answer, such as
// one to an earlier call.
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

// simulation is the state machine of the property test: control, one daemon and its disk.
type simulation struct {
	folder   string
	machine  *catalog.Machine
	views    []*catalog.View
	answers  []*rockwindpb.ConfigurationChange
	control  *controlReplica
	follower *Follower
	hooks    testHooks
	highest  uint64
}

func newSimulation(t *rapid.T, defects testHooks) *simulation {
	folder, err := os.MkdirTemp("", "follower")
	if err != nil {
		t.Fatal(err)
	}
	machine := catalog.New()
	s := &simulation{folder: folder, machine: machine, views: []*catalog.View{machine.View()}, control: &controlReplica{view: machine.View()}, hooks: defects}
	s.start(t)
	return s
}

// start starts the daemon with the configurations on its disk.
func (s *simulation) start(t *rapid.T) {
	started, err := New(Options{
		Sources: []rockwindpb.ConfigurationService{s.control}, Folder: s.folder,
		Log: &log.Logger{Handler: discard.New()}, Random: rand.New(rand.NewPCG(1, 2)),
	})
	if err != nil {
		t.Fatal(err)
	}
	// A full configuration is saved after about three changes.
	started.store.minCompactionSize = 300
	started.hooks = s.hooks
	s.follower = started
}

// Accept accepts another configuration.
func (s *simulation) Accept(t *rapid.T) {
	before := s.machine.View().Index()
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
	change := configuration.CompareIndexes(before, index)
	command, err := proto.Marshal(&rockwindpb.CatalogCommand{Change: change})
	if err != nil {
		t.Fatal(err)
	}
	s.machine.Apply(0, command)
	s.views = append(s.views, s.machine.View())
	s.answers = append(s.answers, change)
}

// AskReplica lets the daemon poll an up-to-date replica or a stale one.
func (s *simulation) AskReplica(t *rapid.T) {
	s.control.view = s.views[len(s.views)-1]
	if rapid.IntRange(0, 2).Draw(t, "stale replica") == 0 {
		s.control.view = rapid.SampledFrom(s.views).Draw(t, "view")
	}
	s.step(nil)
}

// DeliverStale answers with a change from any earlier call, or a damaged one.
func (s *simulation) DeliverStale(t *rapid.T) {
	if len(s.answers) == 0 {
		t.Skip("no answers yet")
	}
	stale := proto.CloneOf(rapid.SampledFrom(s.answers).Draw(t, "answer"))
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		stale = rapid.SampledFrom(s.views).Draw(t, "full").Full()
	case 1:
		stale.Checksum[0] ^= 1
	}
	s.step(stale)
}

func (s *simulation) step(prepared *rockwindpb.ConfigurationChange) {
	s.control.prepared = prepared
	s.follower.step(context.Background())
	s.highest = max(s.highest, s.follower.Current().Number())
}

// Restart restarts the daemon, sometimes with an incomplete record at the end of its journal.
func (s *simulation) Restart(t *rapid.T) {
	if torn := s.follower.store.journal; torn != nil && rapid.Bool().Draw(t, "torn") {
		appendTornRecord(t, torn.path)
	}
	s.restart(t)
}

// DamageNewestFull damages the latest full configuration, which can be restored from an older one
// and its journal.
func (s *simulation) DamageNewestFull(t *rapid.T) {
	const changesForTwoFullFiles = 8
	for range changesForTwoFullFiles {
		s.Accept(t)
		s.control.view = s.views[len(s.views)-1]
		s.step(nil)
	}
	numbers := s.follower.store.numbers()
	if len(numbers) < 2 || !(&store{folder: s.folder}).journalLeadsTo(numbers[1], numbers[0]) {
		t.Skip("no other way to the latest configuration")
	}
	damage(t, s.follower.store.path(numbers[0]))
	s.restart(t)
}

// DamageJournal damages the journal. The daemon restarts with an accepted configuration, which may
// be an older one.
func (s *simulation) DamageJournal(t *rapid.T) {
	journal := s.follower.store.journal
	if journal == nil || journal.size == 0 {
		t.Skip("no changes")
	}
	damage(t, journal.path)
	s.start(t)
	s.highest = s.follower.Current().Number()
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

// journalLeadsTo reports whether the journal of one full configuration leads to another one.
func (s *store) journalLeadsTo(base, number uint64) bool {
	index, err := s.read(base)
	return err == nil && newJournal(s.folder, base).replay(index).Number() == number
}

// FailWrite makes the write of a change fail and restarts the daemon.
func (s *simulation) FailWrite(t *rapid.T) {
	s.control.view = s.views[len(s.views)-1]
	intact := s.follower.store
	s.follower.store = &store{folder: filepath.Join(s.folder, "missing")}
	s.step(nil)
	s.follower.store = intact
	s.restart(t)
}

func (s *simulation) restart(t *rapid.T) {
	before := s.follower.Current()
	s.start(t)
	if !bytes.Equal(s.follower.Current().Checksum(), before.Checksum()) {
		t.Fatalf("configuration %d was current before the restart, and %d after it", before.Number(), s.follower.Current().Number())
	}
}

func appendTornRecord(t *rapid.T, path string) {
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
func (s *simulation) Check(t *rapid.T) {
	current := s.follower.Current()
	if current.Number() < s.highest {
		t.Fatalf("configuration %d is current after %d", current.Number(), s.highest)
	}
	if !bytes.Equal(current.Checksum(), s.views[current.Number()].Index().Checksum()) {
		t.Fatalf("configuration %d differs from the accepted one", current.Number())
	}
}

// checkFollower runs a daemon through random answers, restarts and damage.
func checkFollower(t *rapid.T, defects testHooks) {
	s := newSimulation(t, defects)
	defer os.RemoveAll(s.folder)
	t.Repeat(rapid.StateMachineActions(s))
	s.control.view = s.views[len(s.views)-1]
	// If a change cannot be applied, a second step requests the full configuration.
	s.step(nil)
	s.step(nil)
	if newest := s.views[len(s.views)-1].Index().Number(); s.follower.Current().Number() != newest {
		t.Fatalf("configuration %d is current, and %d was accepted", s.follower.Current().Number(), newest)
	}
}

// TestMain fixes the seed, so that runs are reproducible. Flags on the command line take
// precedence.
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
	rapid.Check(t, func(t *rapid.T) { checkFollower(t, testHooks{}) })
}

func TestDefectsAreNoticed(t *testing.T) {
	for name, defects := range map[string]testHooks{
		"accept an older configuration": {acceptOlder: true},
		"publish before saving":         {publishFirst: true},
	} {
		t.Run(name, func(t *testing.T) {
			if !mutant.Killed(t, func(t *rapid.T) { checkFollower(t, defects) }) {
				t.Error("the property holds for a defective follower")
			}
		})
	}
}
