package replica_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal/faultfs"
)

// machineRegion returns the region of a machine whose name begins with it.
func machineRegion(name string) string {
	region, _, _ := strings.Cut(name, "-")
	return region
}

// copyCounter counts the copies of log entries that cross regions.
type copyCounter struct {
	mutex sync.Mutex
	// entries holds the highest index that was sent, by group, and copies how many were sent to other regions.
	entries map[uint32]uint64
	copies  int
}

// count is a rewriteFunc that changes nothing.
func (c *copyCounter) count(from, to string, messages []*rockwindpb.GroupMessage) []*rockwindpb.GroupMessage {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, each := range messages {
		message := each.GetMessage()
		sent := len(message.GetEntries()) + len(message.GetShortEntries())
		if sent == 0 {
			continue
		}
		c.entries[each.GetGroup()] = max(c.entries[each.GetGroup()], message.GetIndex()+uint64(sent))
		if machineRegion(from) != machineRegion(to) {
			c.copies += sent
		}
	}
	return messages
}

// perEntry returns how many copies of an entry crossed regions on average.
func (c *copyCounter) perEntry() float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	total := uint64(0)
	for _, entries := range c.entries {
		total += entries
	}
	return float64(c.copies) / float64(total)
}

// measureLeaders runs nine groups on nine machines in three regions. Each group has three of its five
// voters in the region of its first member, as the founding of a site has. Every 20 s a machine fails for 3 s, and
// every minute all lose power for 1.2 s. It returns the share of the time of all groups in which the leader
// was in the group's region, of that in which there was one, and the copies that crossed regions per entry.
func measureLeaders(t *testing.T, regionOf func(string) string, seed uint64, duration time.Duration) (share, copies float64) {
	synctest.Test(t, func(t *testing.T) {
		f := &testCluster{t: t, links: &replica.Links{}, random: rand.New(rand.NewPCG(seed, 2))}
		f.adjust = func(options *replica.Options) { options.RegionOf = regionOf }
		f.network = &network{handlers: map[string]http.Handler{}}
		f.client = &http.Client{Transport: f.network}
		counter := &copyCounter{entries: make(map[uint32]uint64)}
		f.network.setRewrite(counter.count)
		regions := []string{"boston", "hartford", "portland"}
		for _, region := range regions {
			for i := range 3 {
				name := fmt.Sprintf("%s-%d", region, i)
				f.machines = append(f.machines, &machine{name: name, disk: faultfs.New()})
				f.peers = append(f.peers, &rockwindpb.ControlMachine{Machine: name, Address: name})
			}
		}
		for _, m := range f.machines {
			f.start(m)
		}
		defer func() {
			for _, m := range f.machines {
				f.kill(m)
			}
		}()
		founding := &rockwindpb.FoundRequest{ClusterId: "regions"}
		for group := range len(f.machines) {
			region, first := group/3, group%3
			positions := []int{group, 3*region + (first+1)%3, 3*region + (first+2)%3, 3*((region+1)%3) + first, 3*((region+2)%3) + first}
			membership := &rockwindpb.Membership{}
			for _, position := range positions {
				m := f.machines[position]
				membership.Members = append(membership.Members, &rockwindpb.Member{Id: m.running().DiskID(), Machine: m.name, Address: m.name})
			}
			founding.Groups = append(founding.Groups, &rockwindpb.FoundingGroup{Group: uint32(group), Membership: membership})
		}
		for _, m := range f.machines {
			if err := m.running().AcceptFounding(t.Context(), founding); err != nil {
				t.Fatal(err)
			}
		}
		share = f.playFailures(duration)
		copies = counter.perEntry()
	})
	return share, copies
}

// playFailures writes to all groups, lets machines fail, and returns the share of time in which leaders are
// in the region of the majority.
func (f *testCluster) playFailures(duration time.Duration) float64 {
	const step = 200 * time.Millisecond
	led, near := 0, 0
	var failed *machine
	for passed := time.Duration(0); passed < duration; passed += step {
		for group := range f.machines {
			leader := f.leaderNow(uint32(group))
			if leader == nil {
				continue
			}
			led++
			if machineRegion(leader.name) == machineRegion(f.machines[group].name) {
				near++
			}
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, _ = leader.group(uint32(group)).Propose(ctx, encode(command{Key: "a", Value: 1}))
			}()
		}
		time.Sleep(step)
		switch {
		case passed%time.Minute == 30*time.Second:
			for _, m := range f.machines {
				f.crash(m)
			}
			time.Sleep(1200 * time.Millisecond)
			for _, m := range f.machines {
				f.start(m)
			}
		case passed%(20*time.Second) == 5*time.Second:
			failed = f.machines[f.random.IntN(len(f.machines))]
			f.crash(failed)
		case passed%(20*time.Second) == 8*time.Second && failed.running() == nil:
			f.start(failed)
		}
	}
	return float64(near) / float64(led)
}

// Guards against leaders that are in other regions for much of the time on a site with failures, which
// costs up to two more copies of each entry between regions. With five voters it is two copies from a
// leader in the region and four from another one.
func TestLeadersAreInTheirRegion(t *testing.T) {
	const duration = 90 * time.Second
	for seed := range uint64(1) {
		before, copiesBefore := measureLeaders(t, nil, seed, duration)
		after, copiesAfter := measureLeaders(t, machineRegion, seed, duration)
		t.Logf("seed %d: share of time in the region %.3f before, %.3f after; copies across regions per entry %.2f before, %.2f after",
			seed, before, after, copiesBefore, copiesAfter)
		if after < 0.9 {
			t.Errorf("seed %d: leaders are in their region for %.3f of the time", seed, after)
		}
		if copiesAfter > 2.4 {
			t.Errorf("seed %d: %.2f copies of an entry cross regions", seed, copiesAfter)
		}
	}
}
