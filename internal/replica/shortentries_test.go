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

// mixedVersions makes machines appear to run the previous version, which neither accepts nor announces
// short entries. It also counts traffic.
type mixedVersions struct {
	mutex sync.Mutex
	old   map[string]bool
	// corruptNext makes the next short append carry a wrong reference.
	corruptNext bool
	// short and fullEntriesRequests count messages; bytes is the size of all appends.
	short, fullEntriesRequests, bytes int
}

// set makes a machine run the previous version or this one.
func (v *mixedVersions) set(name string, old bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.old == nil {
		v.old = make(map[string]bool)
	}
	v.old[name] = old
}

func (v *mixedVersions) rewrite(from, to string, messages []*rockwindpb.GroupMessage) []*rockwindpb.GroupMessage {
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
			if v.corruptNext {
				v.corruptNext, message = false, withCorruptReference(message)
			}
		case rockwindpb.MessageKind_MESSAGE_KIND_WANT_WHOLE:
			v.fullEntriesRequests++
		}
		if v.old[from] {
			message.Message.TakesShort = false
		}
		passed = append(passed, message)
	}
	return passed
}

// withCorruptReference returns a short append whose last entry has a reference to wrong data.
func withCorruptReference(message *rockwindpb.GroupMessage) *rockwindpb.GroupMessage {
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

func (v *mixedVersions) corruptNextAppend() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.corruptNext = true
}

// counts returns the number of short appends and of requests for whole entries.
func (v *mixedVersions) counts() (short, fullEntriesRequests int) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.short, v.fullEntriesRequests
}

func (v *mixedVersions) resetBytes() int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	taken := v.bytes
	v.bytes = 0
	return taken
}

// randomText returns text of a given length in bytes that repeats nothing.
func randomText(random *rand.Rand, length int) string {
	var text strings.Builder
	for text.Len() < length {
		fmt.Fprintf(&text, "%x ", random.Uint64())
	}
	return text.String()[:length]
}

// addNote proposes a note at the leader until a proposal succeeds.
func (f *testCluster) addNote(key, text string) {
	f.t.Helper()
	f.eventually("a note is taken", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := f.leader(1).group(1).Propose(ctx, encode(command{Key: key, Value: 1, Note: text}))
		return err == nil
	})
}

// sameState reports whether all machines have the same state.
func (f *testCluster) sameState() bool {
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

// TestRepeatedDataIsSentByReference checks that a command that repeats earlier ones is sent in a few
// bytes, but complete to a machine of the previous version.
func TestRepeatedDataIsSentByReference(t *testing.T) {
	for _, old := range []bool{false, true} {
		t.Run(fmt.Sprintf("previous version: %v", old), func(t *testing.T) {
			versions := &mixedVersions{}
			runCluster(t, 3, nil, func(f *testCluster) {
				f.network.setRewrite(versions.rewrite)
				for _, m := range f.machines {
					versions.set(m.name, old)
				}
				f.add(1, "a")
				time.Sleep(10 * tick)
				random := rand.New(rand.NewPCG(1, 1))
				var parts []string
				for range 10 {
					parts = append(parts, randomText(random, 700))
					f.addNote("item", parts[len(parts)-1])
				}
				f.eventually("all machines have the parts", f.sameState)
				versions.resetBytes()
				f.addNote("item", strings.Join(parts, ""))
				f.eventually("all machines have the whole text", f.sameState)
				if bytes := versions.resetBytes(); (bytes < 2*1000) == old {
					t.Fatalf("7,000 repeated bytes were sent to two members in %d bytes", bytes)
				}
				if short, fullEntriesRequests := versions.counts(); (short == 0) != old || fullEntriesRequests != 0 {
					t.Fatalf("%d short appends, %d requests for whole entries", short, fullEntriesRequests)
				}
			})
		})
	}
}

// TestMemberThatLostWhatIsReferredToGetsWholeEntries compacts the referenced entries out of the logs
// of the members.
func TestMemberThatLostWhatIsReferredToGetsWholeEntries(t *testing.T) {
	versions := &mixedVersions{}
	adjust := func(o *replica.Options) { o.SnapshotEntries = 8; o.SnapshotBytes = 4 << 10; o.TrailingBytes = 1 }
	runCluster(t, 3, adjust, func(f *testCluster) {
		f.network.setRewrite(versions.rewrite)
		f.add(1, "a")
		time.Sleep(10 * tick)
		random := rand.New(rand.NewPCG(2, 2))
		text := randomText(random, 900)
		for range 40 {
			f.addNote("item", text)
			f.addNote("item", randomText(random, 3000))
			time.Sleep(tick)
		}
		f.eventually("all machines have the same state", f.sameState)
		if short, fullEntriesRequests := versions.counts(); fullEntriesRequests == 0 {
			t.Fatalf("%d short appends, all of which could be expanded", short)
		}
	})
}

// TestDamagedReferenceIsNoticed checks that a member verifies the checksum of an expanded entry.
func TestDamagedReferenceIsNoticed(t *testing.T) {
	versions := &mixedVersions{}
	runCluster(t, 3, nil, func(f *testCluster) {
		f.network.setRewrite(versions.rewrite)
		f.add(1, "a")
		time.Sleep(10 * tick)
		text := randomText(rand.New(rand.NewPCG(3, 3)), 900)
		f.addNote("item", text)
		f.eventually("all machines have the text", f.sameState)
		versions.corruptNextAppend()
		f.addNote("item", text)
		f.eventually("all machines have the same state", f.sameState)
		if _, fullEntriesRequests := versions.counts(); fullEntriesRequests != 1 {
			t.Fatalf("whole entries were requested %d times", fullEntriesRequests)
		}
	})
}

// TestReplicasHoldTheSameWhateverTheirVersions checks that replicas converge under faults and version
// changes while commands repeat parts of each other.
func TestReplicasHoldTheSameWhateverTheirVersions(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			versions := &mixedVersions{}
			adjust := func(o *replica.Options) { o.SnapshotEntries = 40; o.SegmentBytes = 8192 }
			runCluster(t, 3, adjust, func(f *testCluster) {
				f.network.setRewrite(versions.rewrite)
				f.runWithMixedVersions(versions, seed)
			})
			short, fullEntriesRequests := versions.counts()
			t.Logf("%d short appends, %d requests for whole entries", short, fullEntriesRequests)
			if short == 0 {
				t.Fatal("no entry was sent by reference")
			}
		})
	}
}

func (f *testCluster) runWithMixedVersions(versions *mixedVersions, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		f.proposeTexts(rand.New(rand.NewPCG(seed, 8)), stop)
	}()
	for end := time.Now().Add(faultSeconds * time.Second); time.Now().Before(end); {
		if random.IntN(3) == 0 {
			versions.set(f.machines[random.IntN(len(f.machines))].name, random.IntN(3) == 0)
		} else {
			f.injectFault(random)
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	f.healAndWait()
	close(stop)
	<-ended
	f.eventually("all replicas have the same state", f.sameState)
}

// proposeTexts proposes new texts, and sometimes all earlier texts of a key at once.
func (f *testCluster) proposeTexts(random *rand.Rand, stop <-chan struct{}) {
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
		addNote := randomText(random, 1+random.IntN(600))
		texts[key] += addNote
		if random.IntN(4) == 0 {
			addNote = texts[key]
		}
		if len(texts[key]) > 12_000 {
			texts[key] = ""
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, _ = group.Propose(ctx, encode(command{Key: key, Value: 1, Note: addNote}))
		cancel()
	}
}
