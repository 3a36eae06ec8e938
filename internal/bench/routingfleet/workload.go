package routingfleet

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/engine"
)

// Parts of the requests by kind; the rest are turns of sessions.
const (
	partQuestions = 0.55
	partDocuments = 0.15
)

// Sizes of prompts and answers in tokens, and of what prompts share in blocks.
const (
	questionMinimum   = 80
	questionMaximum   = 600
	instructionBlocks = 2
	documentBlocks    = 44
	documentRest      = 2000
	turnMinimum       = 64
	turnMaximum       = 256
	answerMinimum     = 40
	answerMaximum     = 200
	// sessionTurns is the mean number of turns of a session, and thinkTime the
	// mean time between two of them.
	sessionTurns = 4
	thinkTime    = 4 * time.Second
	// zipfExponent shapes the popularity of shared texts.
	zipfExponent = 0.9
)

// Streams of randomness; each use has its own, so that a policy that draws more
// or less does not change the load.
const (
	streamLoad = iota + 1
	streamEngines
	streamGateways
	streamClients
)

func newRandom(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// arrival is one request as its caller sends it.
type arrival struct {
	at      time.Duration
	gateway int
	prompt  int
	answer  int
	// blocks are the chain hashes of the prompt's whole blocks.
	blocks []uint64
}

// generator draws the load of a run.
type generator struct {
	scenario     *Scenario
	random       *rand.Rand
	documents    *zipf
	instructions *zipf
	// fresh numbers blocks that no other prompt holds.
	fresh    uint64
	arrivals []arrival
}

// drawLoad draws all arrivals of a run, in order of time.
func drawLoad(scenario *Scenario, seed uint64) []arrival {
	created := &generator{
		scenario:     scenario,
		random:       newRandom(seed, streamLoad),
		documents:    newZipf(scenario.Load.Documents),
		instructions: newZipf(scenario.Load.Instructions),
	}
	for zone := range scenario.Zones {
		created.zone(zone)
	}
	slices.SortStableFunc(created.arrivals, func(left, right arrival) int { return int(left.at - right.at) })
	return created.arrivals
}

// zone draws the stream of one zone by thinning at the rate of bursts.
func (g *generator) zone(zone int) {
	load := &g.scenario.Load
	factor := math.Max(1, load.BurstFactor)
	// A session brings several requests, so that fewer of them begin.
	started := 1 / (partQuestions + partDocuments + (1-partQuestions-partDocuments)*sessionTurns)
	rate := load.Rate * started * float64(g.scenario.Servers) / float64(g.scenario.Zones)
	mean := time.Duration(float64(time.Second) / (rate * factor))
	bursting := false
	change := g.exponential(load.MeanBurstInterval)
	for at := g.exponential(mean); at < g.scenario.End(); at += g.exponential(mean) {
		for change <= at {
			bursting = !bursting
			change += g.exponential(g.phase(bursting))
		}
		if bursting || g.random.Float64()*factor < 1 {
			g.begin(zone, at)
		}
	}
}

func (g *generator) phase(bursting bool) time.Duration {
	if bursting {
		return g.scenario.Load.MeanBurstDuration
	}
	return g.scenario.Load.MeanBurstInterval
}

func (g *generator) exponential(mean time.Duration) time.Duration {
	return time.Duration(g.random.ExpFloat64() * float64(mean))
}

func (g *generator) between(least, most int) int {
	return least + g.random.IntN(most-least+1)
}

// begin draws a question, a question on a document, or a session.
func (g *generator) begin(zone int, at time.Duration) {
	point := g.random.Float64()
	switch {
	case point < partQuestions:
		shared := sharedBlocks(kindInstruction, g.instructions.draw(g.random), instructionBlocks)
		g.add(zone, at, g.between(questionMinimum, questionMaximum), shared)
	case point < partQuestions+partDocuments:
		shared := sharedBlocks(kindDocument, g.documents.draw(g.random), documentBlocks)
		rest := g.between(turnMinimum, documentRest)
		g.add(zone, at, documentBlocks*engine.TokensPerBlock+rest, shared)
	default:
		g.session(zone, at)
	}
}

// session draws the turns of a conversation; each prompt begins with the whole
// of the one before.
func (g *generator) session(zone int, at time.Duration) {
	blocks := sharedBlocks(kindInstruction, g.instructions.draw(g.random), instructionBlocks)
	prompt := len(blocks) * engine.TokensPerBlock
	for {
		prompt += g.between(turnMinimum, turnMaximum)
		sent := g.add(zone, at, prompt, blocks)
		blocks = sent.blocks
		prompt += sent.answer
		at += g.exponential(thinkTime)
		if at >= g.scenario.End() || g.random.Float64() < 1.0/sessionTurns {
			return
		}
	}
}

// add adds a request of which the leading blocks are given. Its gateway is any
// of the zone, for callers do not stay with one.
func (g *generator) add(zone int, at time.Duration, prompt int, leading []uint64) arrival {
	blocks := slices.Clone(leading)
	for len(blocks) < prompt/engine.TokensPerBlock {
		g.fresh++
		blocks = append(blocks, blockHash(kindFresh, g.fresh, 0))
	}
	blocks = blocks[:min(len(blocks), prompt/engine.TokensPerBlock)]
	ofZone := (g.scenario.Gateways - zone + g.scenario.Zones - 1) / g.scenario.Zones
	drawn := arrival{
		at: at, gateway: zone + g.scenario.Zones*g.random.IntN(ofZone),
		prompt: prompt, answer: g.between(answerMinimum, answerMaximum), blocks: blocks,
	}
	g.arrivals = append(g.arrivals, drawn)
	return drawn
}

// blockKind tells texts apart whose blocks must not be equal.
type blockKind uint64

const (
	kindInstruction blockKind = iota + 1
	kindDocument
	kindFresh
)

// sharedBlocks returns the blocks of a shared text.
func sharedBlocks(kind blockKind, text, count int) []uint64 {
	blocks := make([]uint64, count)
	for index := range blocks {
		blocks[index] = blockHash(kind, uint64(text), uint64(index))
	}
	return blocks
}

// blockHash mixes what names a block into a hash.
func blockHash(kind blockKind, text, index uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	mixed := (uint64(kind)<<56 ^ text<<16 ^ index) * multiplier
	mixed ^= mixed >> 32
	return mixed * multiplier
}

// zipf draws numbers from 0 with a popularity that falls with the number.
type zipf struct {
	cumulative []float64
}

func newZipf(count int) *zipf {
	created := &zipf{cumulative: make([]float64, max(1, count))}
	sum := 0.0
	for index := range created.cumulative {
		sum += math.Pow(float64(index+1), -zipfExponent)
		created.cumulative[index] = sum
	}
	return created
}

func (z *zipf) draw(random *rand.Rand) int {
	point := random.Float64() * z.cumulative[len(z.cumulative)-1]
	index, _ := slices.BinarySearch(z.cumulative, point)
	return min(index, len(z.cumulative)-1)
}
