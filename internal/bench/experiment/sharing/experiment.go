// Package sharing measures how batch work shares engines with online requests. It
// simulates the gateways' policy and the baselines with the same arrivals over several
// seeds, and compares the increase of online tail latency and the batch throughput.
package sharing

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	policy "rockwind.example/rockwind/internal/sharing"
	"rockwind.example/rockwind/internal/simulator"
)

// Quantiles of online latency; harm is measured at the tail.
const (
	tailQuantile   = 0.99
	medianQuantile = 0.5
)

// The targets that AimsMet checks.
const (
	maxHarm       = 1.03
	minThroughput = 0.95
)

// Options are the parameters of the experiment.
type Options struct {
	// Scenario is the simulated deployment.
	Scenario simulator.Scenario
	// Seed is the first of Seeds consecutive seeds.
	Seed  uint64
	Seeds int
}

// Policy holds the results of one policy over all seeds.
type Policy struct {
	Name string `json:"name"`
	// Ratios of latency quantiles with batch work to those without.
	TTFTRatio       Summary `json:"online_ttft_p99_ratio"`
	TPOTRatio       Summary `json:"online_tpot_p99_ratio"`
	TTFTMedianRatio Summary `json:"online_ttft_p50_ratio"`
	TPOTMedianRatio Summary `json:"online_tpot_p50_ratio"`
	// Throughput is the completed batch work relative to the oracle.
	Throughput Summary `json:"batch_throughput_ratio"`
	// OfCapacity is the completed batch work relative to a fleet without online
	// requests.
	OfCapacity Summary `json:"batch_of_empty_fleet_ratio"`
	// Refused is the fraction of online requests refused or lost.
	Refused Summary `json:"online_refused_part"`
	// PausesPerSecond is the rate of paused items on the whole fleet.
	PausesPerSecond Summary `json:"pauses_per_second"`
	// firstRun is the run with the first seed.
	firstRun *simulator.Result
}

// Harm returns the larger of the mean tail latency ratios.
func (p *Policy) Harm() float64 {
	return max(p.TTFTRatio.Mean, p.TPOTRatio.Mean)
}

// Result holds the results of the experiment.
type Result struct {
	Scenario        string            `json:"scenario"`
	Objective       string            `json:"objective"`
	Seeds           []uint64          `json:"seeds"`
	MeasuredSeconds float64           `json:"measured_seconds"`
	Engines         int               `json:"engines"`
	OnlineRequests  int               `json:"online_requests_per_seed"`
	Definitions     map[string]string `json:"definitions"`
	// Means over the seeds for the policy rockwind.
	TTFTRatio  float64 `json:"online_ttft_p99_ratio"`
	TPOTRatio  float64 `json:"online_tpot_p99_ratio"`
	Throughput float64 `json:"batch_throughput_ratio"`
	// WorstHarm and LeastThroughput are the worst values of a single seed.
	WorstHarm       float64 `json:"worst_harm_of_a_seed"`
	LeastThroughput float64 `json:"least_throughput_of_a_seed"`
	// AimsMet is set if every seed has a harm of at most 1.03 and a throughput of at
	// least 0.95.
	AimsMet bool `json:"aims_met"`
	// AheadOf names the baselines with more harm than rockwind, BehindOf those with at
	// most its harm and at least its throughput.
	AheadOf  []string `json:"ahead_of"`
	BehindOf []string `json:"behind_of"`
	Policies []Policy `json:"policies"`

	onlineOnly *simulator.Result
}

// definitions returns the definitions of the metrics for the report.
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
		result.OnlineRequests += runs[index].onlineOnly.Requests / len(runs)
	}
	result.onlineOnly = &runs[0].onlineOnly
	for index := range runs[0].shared {
		result.Policies = append(result.Policies, compare(runs, index))
	}
	result.evaluate()
	return result, nil
}

// seedRun holds the runs of one seed.
type seedRun struct {
	seed       uint64
	onlineOnly simulator.Result
	batchOnly  simulator.Result
	oracle     simulator.Result
	shared     []simulator.Result
}

// maxWorkers bounds concurrent simulations.
const maxWorkers = 6

func runAll(options Options) ([]seedRun, error) {
	runs := make([]seedRun, options.Seeds)
	var workers errgroup.Group
	workers.SetLimit(min(maxWorkers, runtime.GOMAXPROCS(0)))
	for index := range runs {
		workers.Go(func() error {
			runs[index] = runSeed(options.Scenario, options.Seed+uint64(index))
			return nil
		})
	}
	return runs, workers.Wait()
}

// runSeed simulates every policy with the arrivals of one seed.
func runSeed(scenario simulator.Scenario, seed uint64) seedRun {
	run := seedRun{seed: seed}
	run.onlineOnly = simulator.Run(scenario, simulator.OnlineAlone(&scenario), seed)
	withTarget := scenario
	withTarget.Target = policy.Target{
		FirstToken: simulator.Quantile(run.onlineOnly.TTFT, tailQuantile),
		PerToken:   simulator.Quantile(run.onlineOnly.TPOT, tailQuantile),
	}
	run.batchOnly = simulator.Run(scenario, simulator.BatchAlone(&scenario), seed)
	run.oracle = oracle(withTarget, &run.onlineOnly, seed)
	run.shared = append(run.shared, simulator.Run(scenario, simulator.Rockwind(&scenario), seed))
	run.shared = append(run.shared, simulator.Run(withTarget, simulator.RockwindWithTarget(&withTarget), seed))
	for _, baseline := range simulator.Baselines(&scenario) {
		run.shared = append(run.shared, simulator.Run(scenario, baseline, seed))
	}
	run.shared = append(run.shared, run.oracle)
	return run
}

// compare computes the results of the policy at an index over all seeds.
func compare(runs []seedRun, index int) Policy {
	var ttft, tpot, ttftMedian, tpotMedian, throughput, capacity, refused, pauses []float64
	for number := range runs {
		run := &runs[number]
		shared := &run.shared[index]
		ttft = append(ttft, ratio(shared.TTFT, run.onlineOnly.TTFT, tailQuantile))
		tpot = append(tpot, ratio(shared.TPOT, run.onlineOnly.TPOT, tailQuantile))
		ttftMedian = append(ttftMedian, ratio(shared.TTFT, run.onlineOnly.TTFT, medianQuantile))
		tpotMedian = append(tpotMedian, ratio(shared.TPOT, run.onlineOnly.TPOT, medianQuantile))
		throughput = append(throughput, shared.BatchCost/run.oracle.BatchCost)
		capacity = append(capacity, shared.BatchCost/run.batchOnly.BatchCost)
		refused = append(refused, float64(shared.Refused)/float64(max(1, shared.Requests)))
		pauses = append(pauses, float64(shared.Pauses)/shared.Seconds)
	}
	return Policy{
		Name:            runs[0].shared[index].Policy,
		TTFTRatio:       summarize(ttft),
		TPOTRatio:       summarize(tpot),
		TTFTMedianRatio: summarize(ttftMedian),
		TPOTMedianRatio: summarize(tpotMedian),
		Throughput:      summarize(throughput),
		OfCapacity:      summarize(capacity),
		Refused:         summarize(refused),
		PausesPerSecond: summarize(pauses),
		firstRun:        &runs[0].shared[index],
	}
}

func ratio(shared, onlineOnly []time.Duration, quantile float64) float64 {
	return float64(simulator.Quantile(shared, quantile)) / float64(max(1, simulator.Quantile(onlineOnly, quantile)))
}

// evaluate compares rockwind, the first policy, with the targets and the baselines.
func (r *Result) evaluate() {
	rockwind := &r.Policies[0]
	r.TTFTRatio, r.TPOTRatio, r.Throughput = rockwind.TTFTRatio.Mean, rockwind.TPOTRatio.Mean, rockwind.Throughput.Mean
	r.WorstHarm = max(rockwind.TTFTRatio.Maximum, rockwind.TPOTRatio.Maximum)
	r.LeastThroughput = rockwind.Throughput.Minimum
	r.AimsMet = r.WorstHarm <= maxHarm && r.LeastThroughput >= minThroughput
	for index := range r.Policies[1:] {
		baseline := &r.Policies[index+1]
		if baseline.Name == simulator.OracleName || baseline.Name == simulator.RockwindWithTargetName {
			continue
		}
		lessHarm := baseline.Harm() <= rockwind.Harm()
		moreWork := baseline.Throughput.Mean >= rockwind.Throughput.Mean
		switch {
		case lessHarm && moreWork:
			r.BehindOf = append(r.BehindOf, baseline.Name)
		case !lessHarm:
			r.AheadOf = append(r.AheadOf, baseline.Name)
		}
	}
}
