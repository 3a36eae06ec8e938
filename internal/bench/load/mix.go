package load

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"
)

// Mix is the workload of one deployment.
type Mix struct {
	// Name is the name of the deployment.
	Name string
	// Tenants is the number of tenants, which are named Name-tenant-0 and so on.
	Tenants int
	// Rate is the mean rate of online requests per second.
	Rate float64
	// BurstFactor multiplies the rate during bursts, which take BurstFraction of
	// the time and last BurstLength each.
	BurstFactor   float64
	BurstFraction float64
	BurstLength   time.Duration
	// Requests are the kinds of online request, with weights.
	Requests []RequestShape
	// JobBurstInterval is the time between bursts of batch jobs.
	JobBurstInterval time.Duration
	// JobsPerBurst is the number of jobs per burst, ItemsPerJob the mean number of items per job.
	JobsPerBurst int
	ItemsPerJob  int
	// Item is the shape of a batch item.
	Item RequestShape
}

// RequestShape describes a kind of request. Lengths are medians of log-normal
// distributions.
type RequestShape struct {
	Weight       float64
	Kind         Kind
	Model        string
	PromptTokens int
	AnswerTokens int
	// Spread is the standard deviation of the logarithm of the lengths.
	Spread float64
	// Prefixes is the number of distinct shared prefixes, each of PrefixTokens.
	Prefixes     int
	PrefixTokens int
	Stream       bool
}

// Limits of random lengths in tokens.
const (
	maxPromptTokens = 7000
	maxAnswerTokens = 1000
)

// SchedulingMix is the workload of the scheduling deployment: short drafts, long summaries,
// service lookups, and large batch jobs.
func SchedulingMix(model, service string) Mix {
	return Mix{
		Name: "scheduling", Tenants: 2, Rate: 20,
		BurstFactor: 4, BurstFraction: 0.1, BurstLength: 3 * time.Second,
		Requests: []RequestShape{
			{Weight: 5, Kind: KindOnline, Model: model, PromptTokens: 300, AnswerTokens: 80, Spread: 0.5, Prefixes: 4, PrefixTokens: 192, Stream: true},
			{Weight: 1, Kind: KindOnline, Model: model, PromptTokens: 2500, AnswerTokens: 200, Spread: 0.6, Prefixes: 20, PrefixTokens: 1024, Stream: true},
			{Weight: 6, Kind: KindService, Model: service},
		},
		JobBurstInterval: 10 * time.Second, JobsPerBurst: 2, ItemsPerJob: 200,
		Item: RequestShape{Kind: KindJob, Model: model, PromptTokens: 500, AnswerTokens: 120, Spread: 0.4, Prefixes: 4, PrefixTokens: 192},
	}
}

// PuzzlesMix is the workload of the puzzles deployment: short hints, long explanations,
// service calls for accounts, and small batch jobs.
func PuzzlesMix(model, service string) Mix {
	return Mix{
		Name: "puzzles", Tenants: 2, Rate: 30,
		BurstFactor: 3, BurstFraction: 0.2, BurstLength: 2 * time.Second,
		Requests: []RequestShape{
			{Weight: 8, Kind: KindOnline, Model: model, PromptTokens: 200, AnswerTokens: 40, Spread: 0.4, Prefixes: 12, PrefixTokens: 128, Stream: true},
			{Weight: 1, Kind: KindOnline, Model: model, PromptTokens: 4000, AnswerTokens: 250, Spread: 0.5, Prefixes: 30, PrefixTokens: 3072, Stream: true},
			{Weight: 2, Kind: KindService, Model: service},
		},
		JobBurstInterval: 10 * time.Second, JobsPerBurst: 4, ItemsPerJob: 30,
		Item: RequestShape{Kind: KindJob, Model: model, PromptTokens: 400, AnswerTokens: 60, Spread: 0.4, Prefixes: 12, PrefixTokens: 128},
	}
}

// Generate returns a random trace of the mixes, sorted by time.
func Generate(mixes []Mix, duration time.Duration, random *rand.Rand) []Record {
	var records []Record
	for number, mix := range mixes {
		records = append(records, mix.online(duration, random, number)...)
		records = append(records, mix.jobs(duration, random, number)...)
	}
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return records
}

// online generates requests as a Poisson process with a higher rate during bursts.
func (m Mix) online(duration time.Duration, random *rand.Rand, number int) []Record {
	var records []Record
	var at, burstEnd time.Duration
	nextBurst := m.burstGap(random)
	baseRate := m.Rate / (1 + m.BurstFraction*(m.BurstFactor-1))
	for {
		rate := baseRate
		if at < burstEnd {
			rate *= m.BurstFactor
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return records
		}
		if at >= nextBurst {
			burstEnd = nextBurst + m.BurstLength
			nextBurst = burstEnd + m.burstGap(random)
		}
		records = append(records, m.record(m.pick(random), at, random, number))
	}
}

// burstGap returns a random time until the next burst.
func (m Mix) burstGap(random *rand.Rand) time.Duration {
	if m.BurstFraction <= 0 {
		return math.MaxInt64 / 2
	}
	mean := float64(m.BurstLength) * (1 - m.BurstFraction) / m.BurstFraction
	return time.Duration(random.ExpFloat64() * mean)
}

// jobs generates bursts of jobs at a fixed interval.
func (m Mix) jobs(duration time.Duration, random *rand.Rand, number int) []Record {
	var records []Record
	if m.JobBurstInterval <= 0 {
		return nil
	}
	for at := m.JobBurstInterval / 2; at < duration; at += m.JobBurstInterval {
		for range m.JobsPerBurst {
			record := m.record(m.Item, at, random, number)
			record.Items = max(1, int(float64(m.ItemsPerJob)*(0.5+random.Float64())))
			records = append(records, record)
		}
	}
	return records
}

func (m Mix) pick(random *rand.Rand) RequestShape {
	total := 0.0
	for _, shape := range m.Requests {
		total += shape.Weight
	}
	draw := random.Float64() * total
	for _, shape := range m.Requests {
		if draw -= shape.Weight; draw < 0 {
			return shape
		}
	}
	return m.Requests[len(m.Requests)-1]
}

func (m Mix) record(shape RequestShape, at time.Duration, random *rand.Rand, number int) Record {
	record := Record{
		AtMs:   at.Milliseconds(),
		Tenant: fmt.Sprintf("%s-tenant-%d", m.Name, random.Intn(max(m.Tenants, 1))),
		Model:  shape.Model,
		Kind:   shape.Kind,
		Stream: shape.Stream,
	}
	if shape.Kind == KindService {
		return record
	}
	record.PromptTokens = min(logNormal(shape.PromptTokens, shape.Spread, random), maxPromptTokens)
	record.MaxTokens = min(logNormal(shape.AnswerTokens, shape.Spread, random), maxAnswerTokens)
	if shape.Prefixes > 0 {
		const prefixesPerMix = 1000
		record.SharedPrefix = uint64(number*prefixesPerMix + random.Intn(shape.Prefixes) + 1)
		record.SharedPrefixTokens = min(shape.PrefixTokens, record.PromptTokens)
	}
	return record
}

func logNormal(median int, spread float64, random *rand.Rand) int {
	return max(1, int(float64(median)*math.Exp(spread*random.NormFloat64())))
}
