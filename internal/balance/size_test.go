package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/balance/pace"
)

// siteSizes are the numbers of servers of a small, a large and the largest planned site.
var siteSizes = []int{48, 204, 1200}

// sitePool returns the pool of one of 350 processes that share loads through relays. The servers
// report their pace and have about one free slot each.
func sitePool(servers int) *balance.Pool {
	sharedLoads := balance.NewSharedLoads()
	// The others started long before, so their loads are known at once.
	sharedLoads.SetStarted(time.Hour.Milliseconds())
	pool := balance.NewPool("service", "here", sharedLoads)
	pool.SetPaceEstimator(pace.New())
	pool.SetMaxLoadAge(maxLoadAge)
	pool.SetOnlineProcesses(350)
	pool.SetBatchProcesses(2)
	var members []balance.Member
	loads := make(map[uint32]balance.SharedLoad)
	for i := range servers {
		name := fmt.Sprint("server-", i)
		members = append(members, balance.Member{ID: name, Address: name, Zone: "here", Slots: 7})
		loads[balance.ServerHash(name)] = balance.SharedLoad{Inflight: 5 + i%2, Batch: 1}
	}
	pool.Update(members)
	for _, member := range members {
		pool.RecordReport(member.ID, balance.LoadReport{Pace: 1}, 0)
	}
	sharedLoads.Apply("others", 1, 1, loads, 0)
	return pool
}

// BenchmarkChoiceBySize measures a choice by the number of servers, with a request every two
// milliseconds.
func BenchmarkChoiceBySize(b *testing.B) {
	const between = 2 * time.Millisecond
	for _, kind := range []struct {
		name  string
		batch bool
	}{{"online", false}, {"batch", true}} {
		for _, servers := range siteSizes {
			b.Run(fmt.Sprintf("%s/servers=%d", kind.name, servers), func(b *testing.B) {
				random := rand.New(rand.NewPCG(1, 2))
				pool := sitePool(servers)
				found := 0
				for i := 0; b.Loop(); i++ {
					now := time.Duration(i) * between
					demand := longPrompt(uint64(i%500 + 1))
					demand.Batch = kind.batch
					if choice, room := pool.Choose(demand, nil, now, random); room {
						pool.RecordReport(choice.ID, balance.LoadReport{Pace: 1}, now)
						pool.Abandon(choice)
						found++
					}
				}
				b.ReportMetric(float64(found)/float64(b.N), "found")
			})
		}
	}
}
