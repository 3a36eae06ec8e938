package replica_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// versions plays machines of the version before, which pass over short entries and do not tell that
// they take them, and counts what goes over the links.
type versions struct {
	mutex sync.Mutex
	old   map[string]bool
	// damaging has the next short append lose its first byte.
	damaging bool
	// short and wanted count messages, and bytes those of all appends.
	short, wanted, bytes int
}

// set makes a machine one of the version before, or of this one.
func (v *versions) set(name string, old bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.old == nil {
		v.old = make(map[string]bool)
	}
	v.old[name] = old
}

func (v *versions) pass(from, to string, messages []*rockwindpb.GroupMessage) []*rockwindpb.GroupMessage {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	passed := messages[:0]
	for _, message := range messages {
		switch message.GetMessage().GetKind() {
		case rockwindpb.MessageKind_MESSAGE_KIND_APPEND:
			v.bytes += proto.Size(message)
		case rockwindpb.MessageKind_MESSAGE_KIND_SHORT_APPEND:
			v.bytes += proto.Size(message)
			v.short++
			if v.old[to] {
				continue
			}
			if v.damaging {
				v.damaging, message = false, damaged(message)
			}
		case rockwindpb.MessageKind_MESSAGE_KIND_WANT_WHOLE:
			v.wanted++
		}
		if v.old[from] {
			message.Message.TakesShort = false
		}
		passed = append(passed, message)
	}
	return passed
}

// damaged is a short append whose last entry is told with the reference of another place.
func damaged(message *rockwindpb.GroupMessage) *rockwindpb.GroupMessage {
	changed := proto.CloneOf(message)
	entries := changed.GetMessage().GetShortEntries()
	for _, piece := range entries[len(entries)-1].GetPieces() {
		if piece.GetBack() > 0 {
			piece.Offset++
			piece.Length--
			return changed
		}
	}
	return changed
}

// damage has the next short append damaged.
func (v *versions) damage() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.damaging = true
}

// counts returns how many short appends there were, and how often whole ones were wanted.
func (v *versions) counts() (short, wanted int) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.short, v.wanted
}

func (v *versions) takeBytes() int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	taken := v.bytes
	v.bytes = 0
	return taken
}

// words is text that repeats nothing, of some length in bytes.
func words(random *rand.Rand, length int) string {
	var text strings.Builder
	for text.Len() < length {
		fmt.Fprintf(&text, "%x ", random.Uint64())
	}
	return text.String()[:length]
}

// note adds a note at the leader until that is known to have worked.
func (f *fleet) note(key, text string) {
	f.t.Helper()
	f.eventually("a note is taken", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := f.leader(1).group(1).Propose(ctx, encode(command{Key: key, Value: 1, Note: text}))
		return err == nil
	})
}

// alike tells whether all machines hold the same.
func (f *fleet) alike() bool {
	first := f.machines[0].values()
	return !slices.ContainsFunc(f.machines, func(m *machine) bool { return !maps.Equal(first, m.values()) })
}

func (m *machine) values() map[string]int {
	state := m.state(1)
	if state == nil {
		return nil
	}
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return maps.Clone(state.values)
}

// TestWhatMembersHoldIsToldByReference: a command that repeats the texts of some before goes over
// the links in a few bytes, and whole to a machine of the version before.
func TestWhatMembersHoldIsToldByReference(t *testing.T) {
	for _, old := range []bool{false, true} {
		t.Run(fmt.Sprintf("version before: %v", old), func(t *testing.T) {
			told := &versions{}
			inBubble(t, 3, nil, func(f *fleet) {
				f.network.usePass(told.pass)
				for _, m := range f.machines {
					told.set(m.name, old)
				}
				f.add(1, "a")
				time.Sleep(10 * tick)
				random := rand.New(rand.NewPCG(1, 1))
				var parts []string
				for range 10 {
					parts = append(parts, words(random, 700))
					f.note("item", parts[len(parts)-1])
				}
				f.eventually("all hold the parts", f.alike)
				told.takeBytes()
				f.note("item", strings.Join(parts, ""))
				f.eventually("all hold the whole", f.alike)
				if bytes := told.takeBytes(); (bytes < 2*1000) == old {
					t.Fatalf("7,000 bytes that are held went to two members in %d bytes", bytes)
				}
				if short, wanted := told.counts(); (short == 0) != old || wanted != 0 {
					t.Fatalf("%d short appends, %d times whole ones were wanted", short, wanted)
				}
			})
		})
	}
}

// TestMemberThatLostWhatIsReferredToGetsWholeEntries: its log begins after them.
func TestMemberThatLostWhatIsReferredToGetsWholeEntries(t *testing.T) {
	told := &versions{}
	adjust := func(o *replica.Options) { o.SnapshotEntries = 8; o.SnapshotBytes = 4 << 10; o.TrailingBytes = 1 }
	inBubble(t, 3, adjust, func(f *fleet) {
		f.network.usePass(told.pass)
		f.add(1, "a")
		time.Sleep(10 * tick)
		random := rand.New(rand.NewPCG(2, 2))
		text := words(random, 900)
		for range 40 {
			f.note("item", text)
			f.note("item", words(random, 3000))
			time.Sleep(tick)
		}
		f.eventually("all hold the same", f.alike)
		if short, wanted := told.counts(); wanted == 0 {
			t.Fatalf("%d short appends, and none that a member could not make whole", short)
		}
	})
}

// TestDamagedReferenceIsNoticed: the entry that it makes has another checksum than the leader's.
func TestDamagedReferenceIsNoticed(t *testing.T) {
	told := &versions{}
	inBubble(t, 3, nil, func(f *fleet) {
		f.network.usePass(told.pass)
		f.add(1, "a")
		time.Sleep(10 * tick)
		text := words(rand.New(rand.NewPCG(3, 3)), 900)
		f.note("item", text)
		f.eventually("all hold the text", f.alike)
		told.damage()
		f.note("item", text)
		f.eventually("all hold the same", f.alike)
		if _, wanted := told.counts(); wanted != 1 {
			t.Fatalf("whole entries were wanted %d times", wanted)
		}
	})
}

// TestReplicasHoldTheSameWhateverTheirVersions plays machines that are killed, crashed, cut off, robbed
// of their disks, and of one version or the other from one moment to the next, while commands repeat
// parts of each other: progress of items, results, and commands that are told again.
func TestReplicasHoldTheSameWhateverTheirVersions(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			told := &versions{}
			adjust := func(o *replica.Options) { o.SnapshotEntries = 40; o.SegmentBytes = 8192 }
			inBubble(t, 3, adjust, func(f *fleet) {
				f.network.usePass(told.pass)
				f.repeatTexts(told, seed)
			})
			short, wanted := told.counts()
			t.Logf("%d short appends, whole ones were wanted %d times", short, wanted)
			if short == 0 {
				t.Fatal("nothing was told by reference")
			}
		})
	}
}

func (f *fleet) repeatTexts(told *versions, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		f.proposeTexts(rand.New(rand.NewPCG(seed, 8)), stop)
	}()
	for end := time.Now().Add(chaosSeconds * time.Second); time.Now().Before(end); {
		if random.IntN(3) == 0 {
			told.set(f.machines[random.IntN(len(f.machines))].name, random.IntN(3) == 0)
		} else {
			f.disturb(random)
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	f.heal()
	close(stop)
	<-ended
	f.eventually("all replicas hold the same", f.alike)
}

// proposeTexts proposes new texts, all those of a key at once, and earlier ones again.
func (f *fleet) proposeTexts(random *rand.Rand, stop <-chan struct{}) {
	texts := make(map[string]string)
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
		}
		leader := f.leaderNow(1)
		if leader == nil {
			continue
		}
		group := leader.group(1)
		if group == nil {
			continue
		}
		key := fmt.Sprint("key-", random.IntN(3))
		note := words(random, 1+random.IntN(600))
		texts[key] += note
		if random.IntN(4) == 0 {
			note = texts[key]
		}
		if len(texts[key]) > 12_000 {
			texts[key] = ""
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, _ = group.Propose(ctx, encode(command{Key: key, Value: 1, Note: note}))
		cancel()
	}
}
