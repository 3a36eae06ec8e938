package routingfleet

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/engine"
)

// Shares of the kinds of interactions; the rest are sessions.
const (
	questionShare = 0.55
	documentShare = 0.15
)

// Sizes of prompts and answers in tokens, and of shared prompt prefixes in blocks.
const (
	questionMinimum       = 80
	questionMaximum       = 600
	instructionBlocks     = 2
	documentBlocks        = 44
	documentSuffixMaximum = 2000
	turnMinimum           = 64
	turnMaximum           = 256
	answerMinimum         = 40
	answerMaximum         = 200
	// meanSessionTurns is the mean number of turns of a session, and meanThinkTime
	// the mean time between two turns.
	meanSessionTurns = 4
	meanThinkTime    = 4 * time.Second
	// zipfExponent is the exponent of the popularity distribution of shared texts.
	zipfExponent = 0.9
)

// Random streams. Each use has its own, so that the load does not depend on how
// many numbers a policy draws.
const (
	streamLoad = iota + 1
	streamEngines
	streamGateways
	streamClients
)

func newRandom(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// arrival is one request as sent by its client.
type arrival struct {
	at           time.Duration
	gateway      int
	promptTokens int
	answerTokens int
	// blocks holds the chained hashes of the prompt's full blocks.
	blocks []uint64
}

// generator generates the load of a run.
type generator struct {
	scenario     *Scenario
	random       *rand.Rand
	documents    *zipf
	instructions *zipf
	// uniqueBlocks counts the blocks created for a single prompt or session.
	uniqueBlocks uint64
	arrivals     []arrival
}

// generateArrivals returns all arrivals of a run, ordered by time.
func generateArrivals(scenario *Scenario, seed uint64) []arrival {
	created := &generator{
		scenario:     scenario,
		random:       newRandom(seed, streamLoad),
		documents:    newZipf(scenario.Load.Documents),
		instructions: newZipf(scenario.Load.Instructions),
	}
	for zone := range scenario.Zones {
		created.generateZone(zone)
	}
	slices.SortStableFunc(created.arrivals, func(left, right arrival) int { return int(left.at - right.at) })
	return created.arrivals
}

// generateZone generates the arrivals of one zone by thinning a Poisson process
// that has the rate of bursts.
func (g *generator) generateZone(zone int) {
	load := &g.scenario.Load
	factor := math.Max(1, load.BurstFactor)
	// Sessions have several requests each, so the rate of new interactions is lower
	// than the rate of requests.
	interactionsPerRequest := 1 / (questionShare + documentShare + (1-questionShare-documentShare)*meanSessionTurns)
	rate := load.Rate * interactionsPerRequest * float64(g.scenario.Servers) / float64(g.scenario.Zones)
	mean := time.Duration(float64(time.Second) / (rate * factor))
	bursting := false
	nextChange := g.exponential(load.MeanBurstInterval)
	for at := g.exponential(mean); at < g.scenario.End(); at += g.exponential(mean) {
		for nextChange <= at {
			bursting = !bursting
			nextChange += g.exponential(g.meanPhase(bursting))
		}
		if bursting || g.random.Float64()*factor < 1 {
			g.addInteraction(zone, at)
		}
	}
}

func (g *generator) meanPhase(bursting bool) time.Duration {
	if bursting {
		return g.scenario.Load.MeanBurstDuration
	}
	return g.scenario.Load.MeanBurstInterval
}

func (g *generator) exponential(mean time.Duration) time.Duration {
	return time.Duration(g.random.ExpFloat64() * float64(mean))
}

func (g *generator) uniform(low, high int) int {
	return low + g.random.IntN(high-low+1)
}

// addInteraction adds a question, a question about a document or a session.
func (g *generator) addInteraction(zone int, at time.Duration) {
	point := g.random.Float64()
	switch {
	case point < questionShare:
		shared := sharedBlocks(kindInstruction, g.instructions.draw(g.random), instructionBlocks)
		g.addRequest(zone, at, g.uniform(questionMinimum, questionMaximum), shared)
	case point < questionShare+documentShare:
		shared := sharedBlocks(kindDocument, g.documents.draw(g.random), documentBlocks)
		suffix := g.uniform(turnMinimum, documentSuffixMaximum)
		g.addRequest(zone, at, documentBlocks*engine.TokensPerBlock+suffix, shared)
	default:
		g.addSession(zone, at)
	}
}

// addSession adds the turns of a conversation. Each prompt starts with the blocks
// of the previous prompt.
func (g *generator) addSession(zone int, at time.Duration) {
	blocks := sharedBlocks(kindInstruction, g.instructions.draw(g.random), instructionBlocks)
	prompt := len(blocks) * engine.TokensPerBlock
	for {
		prompt += g.uniform(turnMinimum, turnMaximum)
		sent := g.addRequest(zone, at, prompt, blocks)
		blocks = sent.blocks
		prompt += sent.answerTokens
		at += g.exponential(meanThinkTime)
		if at >= g.scenario.End() || g.random.Float64() < 1.0/meanSessionTurns {
			return
		}
	}
}

// addRequest adds a request whose prompt starts with the given blocks, at a random
// gateway of the zone.
func (g *generator) addRequest(zone int, at time.Duration, prompt int, leading []uint64) arrival {
	blocks := slices.Clone(leading)
	for len(blocks) < prompt/engine.TokensPerBlock {
		g.uniqueBlocks++
		blocks = append(blocks, blockHash(kindUnique, g.uniqueBlocks, 0))
	}
	blocks = blocks[:min(len(blocks), prompt/engine.TokensPerBlock)]
	gatewayCount := (g.scenario.Gateways - zone + g.scenario.Zones - 1) / g.scenario.Zones
	spec := arrival{
		at: at, gateway: zone + g.scenario.Zones*g.random.IntN(gatewayCount),
		promptTokens: prompt, answerTokens: g.uniform(answerMinimum, answerMaximum), blocks: blocks,
	}
	g.arrivals = append(g.arrivals, spec)
	return spec
}

// blockKind separates the hashes of different kinds of text.
type blockKind uint64

const (
	kindInstruction blockKind = iota + 1
	kindDocument
	kindUnique
)

// sharedBlocks returns the blocks of a shared text.
func sharedBlocks(kind blockKind, text, count int) []uint64 {
	blocks := make([]uint64, count)
	for index := range blocks {
		blocks[index] = blockHash(kind, uint64(text), uint64(index))
	}
	return blocks
}

// blockHash returns the hash of a block, given its kind, text and index.
func blockHash(kind blockKind, text, index uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	mixed := (uint64(kind)<<56 ^ text<<16 ^ index) * multiplier
	mixed ^= mixed >> 32
	return mixed * multiplier
}

// zipf draws numbers from 0 with a Zipf distribution.
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
