package simulator

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"rockwind.example/rockwind/internal/engine"
)

// arrival is one online request at its client.
type arrival struct {
	at      time.Duration
	gateway int
	shape   shape
}

// shape holds the lengths and the shared prefix of a request.
type shape struct {
	prompt int
	output int
	// prefix identifies the shared prefix, starting at 1; zero means none.
	prefix int
	blocks []uint64
}

// jobSubmission is a batch job at its submission.
type jobSubmission struct {
	at       time.Duration
	group    int
	deadline time.Duration
	items    []shape
}

// Random streams. Each purpose has its own, so that disabling the batch load does
// not change the online arrivals.
const (
	streamOnline = iota + 1
	streamBatch
	streamEngines
	streamGateways
)

func newRandom(seed uint64, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// exponential draws an exponentially distributed duration with the given mean.
func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

func (c *RequestClass) draw(random *rand.Rand) shape {
	drawn := shape{
		prompt: c.Prompt[0] + random.IntN(c.Prompt[1]-c.Prompt[0]+1),
		output: c.Output[0] + random.IntN(c.Output[1]-c.Output[0]+1),
	}
	if c.Prefixes > 0 {
		drawn.prefix = 1 + random.IntN(c.Prefixes)
	}
	drawn.blocks = blockChain(drawn, c)
	return drawn
}

// blockChain generates the chain hashes of the shared prefix of a request.
func blockChain(drawn shape, class *RequestClass) []uint64 {
	count := drawn.prompt / engine.TokensPerBlock
	shared := 0
	if drawn.prefix > 0 {
		shared = min(count, class.SharedPrefix/engine.TokensPerBlock)
	}
	// Blocks after the shared prefix are unique and never hit; they are omitted to
	// save memory.
	chain := make([]uint64, shared)
	base := uint64(class.Prompt[1])<<48 ^ uint64(class.Output[1])<<32 ^ uint64(drawn.prefix)<<16
	for index := range chain {
		chain[index] = base + uint64(index) + 1
	}
	return chain
}

// onlineArrivals generates the online load of a run.
func onlineArrivals(scenario *Scenario, seed uint64) []arrival {
	if scenario.Replay != nil {
		return scenario.Replay.arrivals()
	}
	random := newRandom(seed, streamOnline)
	load := &scenario.Online
	bursts := drawBursts(load, scenario.End(), random)
	arrivals := drawStream(scenario, bursts, random)
	arrivals = append(arrivals, drawClumps(scenario, random)...)
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].at < arrivals[j].at })
	return arrivals
}

type interval struct {
	from, until time.Duration
}

func drawBursts(load *OnlineLoad, end time.Duration, random *rand.Rand) []interval {
	var bursts []interval
	if load.BurstFactor <= 1 || load.BurstEvery <= 0 {
		return bursts
	}
	at := exponential(random, load.BurstEvery)
	for at < end {
		length := exponential(random, load.BurstMean)
		bursts = append(bursts, interval{at, at + length})
		at += length + exponential(random, load.BurstEvery)
	}
	return bursts
}

// drawStream generates the Poisson process by thinning one with the burst rate.
func drawStream(scenario *Scenario, bursts []interval, random *rand.Rand) []arrival {
	load := &scenario.Online
	rate := load.Rate * float64(scenario.Engines())
	factor := math.Max(1, load.BurstFactor)
	if rate <= 0 {
		return nil
	}
	mean := time.Duration(float64(time.Second) / (rate * factor))
	var arrivals []arrival
	burst := 0
	for at := exponential(random, mean); at < scenario.End(); at += exponential(random, mean) {
		for burst < len(bursts) && bursts[burst].until <= at {
			burst++
		}
		inBurst := burst < len(bursts) && bursts[burst].from <= at
		if !inBurst && random.Float64()*factor >= 1 {
			continue
		}
		arrivals = append(arrivals, arrival{
			at:      at,
			gateway: random.IntN(scenario.Gateways()),
			shape:   drawShape(load.Classes, random),
		})
	}
	return arrivals
}

// drawClumps generates clumps of requests at the gateways of one zone each.
func drawClumps(scenario *Scenario, random *rand.Rand) []arrival {
	load := &scenario.Online
	if load.ClumpSize == 0 {
		return nil
	}
	var arrivals []arrival
	for at := exponential(random, load.ClumpEvery); at < scenario.End(); at += exponential(random, load.ClumpEvery) {
		zone := random.IntN(scenario.Zones)
		for range load.ClumpSize {
			gateway := zone*scenario.GatewaysPerZone + random.IntN(scenario.GatewaysPerZone)
			arrivals = append(arrivals, arrival{
				at:      at + time.Duration(random.Float64()*float64(load.ClumpSpread)),
				gateway: gateway,
				shape:   load.Classes[0].draw(random),
			})
		}
	}
	return arrivals
}

func drawShape(classes []RequestClass, random *rand.Rand) shape {
	total := 0.0
	for index := range classes {
		total += classes[index].Weight
	}
	point := random.Float64() * total
	for index := range classes {
		point -= classes[index].Weight
		if point < 0 {
			return classes[index].draw(random)
		}
	}
	return classes[len(classes)-1].draw(random)
}

// batchSubmissions generates the batch load of a run.
func batchSubmissions(scenario *Scenario, seed uint64) []jobSubmission {
	if scenario.Replay != nil {
		return scenario.Replay.submissions(scenario)
	}
	random := newRandom(seed, streamBatch)
	var submissions []jobSubmission
	for index := range scenario.Batch {
		load := &scenario.Batch[index]
		for at := load.ActiveFrom; at < scenario.End(); at += load.JobEvery {
			if load.ActiveUntil > 0 && at >= load.ActiveUntil {
				break
			}
			if at >= load.PausedFrom && at < load.PausedUntil {
				continue
			}
			submission := jobSubmission{at: at, group: index, deadline: at + load.Deadline}
			for range load.JobItems {
				submission.items = append(submission.items, load.Class.draw(random))
			}
			submissions = append(submissions, submission)
		}
	}
	sort.SliceStable(submissions, func(i, j int) bool { return submissions[i].at < submissions[j].at })
	return submissions
}
