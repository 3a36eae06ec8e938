// Package sharing is the experiment that judges how batch shares engines with
// online requests: it runs the gateways' policy and the baselines on the same
// arrivals in virtual time, over several seeds, and gives the harm to the online
// tail and the batch throughput of each.
package sharing

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	policy "rockwind.example/rockwind/internal/sharing"
	"rockwind.example/rockwind/internal/simulator"
)

// tail is the quantile by which harm is judged; middle is the one beside it.
const (
	tail   = 0.99
	middle = 0.5
)

// The aims, stated with the figures.
const (
	aimHarm       = 1.03
	aimThroughput = 0.95
)

// Options of the experiment.
type Options struct {
	// Scenario is what is simulated.
	Scenario simulator.Scenario
	// Seed is the first of Seeds consecutive seeds.
	Seed  uint64
	Seeds int
}

// Policy holds the figures of one policy over all seeds.
type Policy struct {
	Name string `json:"name"`
	// The ratios of quantiles, with batch over online alone.
	TTFTRatio       Summary `json:"online_ttft_p99_ratio"`
	TPOTRatio       Summary `json:"online_tpot_p99_ratio"`
	TTFTMedianRatio Summary `json:"online_ttft_p50_ratio"`
	TPOTMedianRatio Summary `json:"online_tpot_p50_ratio"`
	// Throughput is the batch work completed over that of the oracle.
	Throughput Summary `json:"batch_throughput_ratio"`
	// OfCapacity is the batch work completed over that of engines without any
	// online request.
	OfCapacity Summary `json:"batch_of_empty_fleet_ratio"`
	// Refused is the part of online requests refused or lost.
	Refused Summary `json:"online_refused_part"`
	// PausesPerSecond counts items paused on the whole fleet.
	PausesPerSecond Summary `json:"pauses_per_second"`
	// sample is the run of the first seed.
	sample *simulator.Result
}

// Harm is the larger of the mean ratios of the tail.
func (p *Policy) Harm() float64 {
	return max(p.TTFTRatio.Mean, p.TPOTRatio.Mean)
}

// Result holds the figures of the experiment.
type Result struct {
	Scenario        string            `json:"scenario"`
	Objective       string            `json:"objective"`
	Seeds           []uint64          `json:"seeds"`
	MeasuredSeconds float64           `json:"measured_seconds"`
	Engines         int               `json:"engines"`
	OnlineRequests  int               `json:"online_requests_per_seed"`
	Definitions     map[string]string `json:"definitions"`
	// The figures of rockwind: means over the seeds.
	TTFTRatio  float64 `json:"online_ttft_p99_ratio"`
	TPOTRatio  float64 `json:"online_tpot_p99_ratio"`
	Throughput float64 `json:"batch_throughput_ratio"`
	// WorstHarm and LeastThroughput are over single seeds.
	WorstHarm       float64 `json:"worst_harm_of_a_seed"`
	LeastThroughput float64 `json:"least_throughput_of_a_seed"`
	// AimsMet tells whether every seed has harm of at most 1.03 and throughput
	// of at least 0.95.
	AimsMet bool `json:"aims_met"`
	// AheadOf and BehindOf name the baselines that rockwind is ahead of on the
	// frontier, and those that have both less harm and more throughput.
	AheadOf  []string `json:"ahead_of"`
	BehindOf []string `json:"behind_of"`
	Policies []Policy `json:"policies"`

	alone *simulator.Result
}

// definitions explains the figures to their reader.
func definitions() map[string]string {
	return map[string]string{
		"online_ttft_p99_ratio":      "p99 of the time to the first token with batch over that of online_alone on the same arrivals and routing policy",
		"online_tpot_p99_ratio":      "p99 of a request's mean time per token after the first, likewise",
		"batch_throughput_ratio":     "cost of batch items completed over that of the oracle: the same control law with the state of every engine and request known at once, the most work at a harm of at most 1.03",
		"batch_of_empty_fleet_ratio": "cost of batch items completed over that of the fleet without any online request",
	}
}

// Measure runs the experiment.
func Measure(options Options) (*Result, error) {
	runs, err := runAll(options)
	if err != nil {
		return nil, err
	}
	result := &Result{
		Scenario:        options.Scenario.Name,
		Objective:       options.Scenario.Objective.String(),
		MeasuredSeconds: options.Scenario.Measured.Seconds(),
		Engines:         options.Scenario.Engines(),
		Definitions:     definitions(),
	}
	for index := range runs {
		result.Seeds = append(result.Seeds, runs[index].seed)
		result.OnlineRequests += runs[index].alone.Requests / len(runs)
	}
	result.alone = &runs[0].alone
	for index := range runs[0].shared {
		result.Policies = append(result.Policies, compare(runs, index))
	}
	result.judge()
	return result, nil
}

// seedRun holds the runs of one seed.
type seedRun struct {
	seed   uint64
	alone  simulator.Result
	empty  simulator.Result
	oracle simulator.Result
	shared []simulator.Result
}

// maximumWorkers bounds the simulations at a time.
const maximumWorkers = 6

func runAll(options Options) ([]seedRun, error) {
	runs := make([]seedRun, options.Seeds)
	var workers errgroup.Group
	workers.SetLimit(min(maximumWorkers, runtime.GOMAXPROCS(0)))
	for index := range runs {
		workers.Go(func() error {
			runs[index] = runSeed(options.Scenario, options.Seed+uint64(index))
			return nil
		})
	}
	return runs, workers.Wait()
}

// runSeed runs every policy on the arrivals of one seed.
func runSeed(scenario simulator.Scenario, seed uint64) seedRun {
	run := seedRun{seed: seed}
	run.alone = simulator.Run(scenario, simulator.OnlineAlone(&scenario), seed)
	told := scenario
	told.Target = policy.Target{
		FirstToken: simulator.Quantile(run.alone.TTFT, tail),
		PerToken:   simulator.Quantile(run.alone.TPOT, tail),
	}
	run.empty = simulator.Run(scenario, simulator.BatchAlone(&scenario), seed)
	run.oracle = oracle(told, &run.alone, seed)
	run.shared = append(run.shared, simulator.Run(scenario, simulator.Rockwind(&scenario), seed))
	run.shared = append(run.shared, simulator.Run(told, simulator.RockwindWithTarget(&told), seed))
	for _, baseline := range simulator.Baselines(&scenario) {
		run.shared = append(run.shared, simulator.Run(scenario, baseline, seed))
	}
	run.shared = append(run.shared, run.oracle)
	return run
}

// compare gathers the figures of the policy at an index over all seeds.
func compare(runs []seedRun, index int) Policy {
	var ttft, tpot, ttftMedian, tpotMedian, throughput, capacity, refused, pauses []float64
	for number := range runs {
		run := &runs[number]
		shared := &run.shared[index]
		ttft = append(ttft, ratio(shared.TTFT, run.alone.TTFT, tail))
		tpot = append(tpot, ratio(shared.TPOT, run.alone.TPOT, tail))
		ttftMedian = append(ttftMedian, ratio(shared.TTFT, run.alone.TTFT, middle))
		tpotMedian = append(tpotMedian, ratio(shared.TPOT, run.alone.TPOT, middle))
		throughput = append(throughput, shared.BatchCost/run.oracle.BatchCost)
		capacity = append(capacity, shared.BatchCost/run.empty.BatchCost)
		refused = append(refused, float64(shared.Refused)/float64(max(1, shared.Requests)))
		pauses = append(pauses, float64(shared.Pauses)/shared.Seconds)
	}
	return Policy{
		Name:            runs[0].shared[index].Policy,
		TTFTRatio:       figureOf(ttft),
		TPOTRatio:       figureOf(tpot),
		TTFTMedianRatio: figureOf(ttftMedian),
		TPOTMedianRatio: figureOf(tpotMedian),
		Throughput:      figureOf(throughput),
		OfCapacity:      figureOf(capacity),
		Refused:         figureOf(refused),
		PausesPerSecond: figureOf(pauses),
		sample:          &runs[0].shared[index],
	}
}

func ratio(shared, alone []time.Duration, quantile float64) float64 {
	return float64(simulator.Quantile(shared, quantile)) / float64(max(1, simulator.Quantile(alone, quantile)))
}

// judge compares rockwind, the first policy, with the aims and the baselines.
func (r *Result) judge() {
	own := &r.Policies[0]
	r.TTFTRatio, r.TPOTRatio, r.Throughput = own.TTFTRatio.Mean, own.TPOTRatio.Mean, own.Throughput.Mean
	r.WorstHarm = max(own.TTFTRatio.Maximum, own.TPOTRatio.Maximum)
	r.LeastThroughput = own.Throughput.Minimum
	r.AimsMet = r.WorstHarm <= aimHarm && r.LeastThroughput >= aimThroughput
	for index := range r.Policies[1:] {
		other := &r.Policies[index+1]
		if other.Name == simulator.OracleName || other.Name == simulator.RockwindWithTargetName {
			continue
		}
		lessHarm := other.Harm() <= own.Harm()
		moreWork := other.Throughput.Mean >= own.Throughput.Mean
		switch {
		case lessHarm && moreWork:
			r.BehindOf = append(r.BehindOf, other.Name)
		case !lessHarm:
			r.AheadOf = append(r.AheadOf, other.Name)
		}
	}
}
