package sharing

import (
	"fmt"
	"path/filepath"
	"time"

	"rockwind.example/rockwind/internal/bench/report"
)

// File names of the charts.
const (
	firstTokenChart = "ttft.png"
	perTokenChart   = "tpot.png"
	throughputChart = "throughput.png"
	frontierChart   = "frontier.png"
)

// write creates the HTML page of the experiment.
func (r *Result) write(folder string) error {
	section := report.Section{
		Heading: "Harm and throughput",
		Text: []string{
			fmt.Sprintf("Scenario %s, objective %s, %d engines, %.0f s measured, seeds %v; mean and 95%% confidence interval.",
				r.Scenario, r.Objective, r.Engines, r.MeasuredSeconds, r.Seeds),
		},
		Table:  r.table(),
		Charts: []string{frontierChart, throughputChart, firstTokenChart, perTokenChart},
	}
	for _, name := range []string{"online_ttft_p99_ratio", "online_tpot_p99_ratio", "batch_throughput_ratio", "batch_of_empty_fleet_ratio"} {
		section.Text = append(section.Text, name+": "+r.Definitions[name]+".")
	}
	if err := report.WriteHTML(folder, "Sharing: "+r.Scenario, []report.Section{section}); err != nil {
		return err
	}
	if err := report.WriteJSON(folder, r); err != nil {
		return err
	}
	return r.charts(folder)
}

func (r *Result) table() report.Table {
	table := report.Table{Header: []string{"policy", "TTFT p99 ratio", "TPOT p99 ratio", "TTFT p50 ratio", "TPOT p50 ratio", "batch / oracle", "batch / empty fleet", "refused", "pauses/s"}}
	for index := range r.Policies {
		policy := &r.Policies[index]
		table.Rows = append(table.Rows, []string{
			policy.Name, policy.TTFTRatio.String(), policy.TPOTRatio.String(),
			policy.TTFTMedianRatio.String(), policy.TPOTMedianRatio.String(),
			policy.Throughput.String(), policy.OfCapacity.String(),
			fmt.Sprintf("%.4f", policy.Refused.Mean), fmt.Sprintf("%.0f", policy.PausesPerSecond.Mean),
		})
	}
	return table
}

func (r *Result) charts(folder string) error {
	firstToken := []report.Series{distribution("online_alone", r.onlineOnly.TTFT)}
	perToken := []report.Series{distribution("online_alone", r.onlineOnly.TPOT)}
	var throughput, frontier []report.Series
	for index := range r.Policies {
		policy := &r.Policies[index]
		firstToken = append(firstToken, distribution(policy.Name, policy.firstRun.TTFT))
		perToken = append(perToken, distribution(policy.Name, policy.firstRun.TPOT))
		throughput = append(throughput, throughputOverTime(policy.Name, policy.firstRun.BatchPerSecond))
		frontier = append(frontier, policy.frontierPoints())
	}
	if err := report.CDF(filepath.Join(folder, firstTokenChart), "Time to the first token", firstToken...); err != nil {
		return err
	}
	if err := report.CDF(filepath.Join(folder, perTokenChart), "Time per token", perToken...); err != nil {
		return err
	}
	err := report.Lines(filepath.Join(folder, throughputChart), report.Chart{
		Title: "Batch work completed", XLabel: "seconds", YLabel: "cost units per second", Series: throughput,
	})
	if err != nil {
		return err
	}
	return report.Scatter(filepath.Join(folder, frontierChart), report.Chart{
		Title: "Throughput against harm, a point per seed", XLabel: "larger ratio of the p99s", YLabel: "batch over oracle",
		LogX: true, Series: frontier,
	})
}

// frontierPoints returns harm and throughput of each seed.
func (p *Policy) frontierPoints() report.Series {
	series := report.Series{Name: p.Name}
	for index, throughput := range p.Throughput.Samples {
		runHarm := max(p.TTFTRatio.Samples[index], p.TPOTRatio.Samples[index])
		series.Points = append(series.Points, report.Point{X: runHarm, Y: throughput})
	}
	return series
}

// distributionPoints bounds the points of a cumulative distribution.
const distributionPoints = 400

func distribution(name string, sorted []time.Duration) report.Series {
	series := report.Series{Name: name}
	for step := 1; step <= distributionPoints && len(sorted) > 0; step++ {
		index := max(0, step*len(sorted)/distributionPoints-1)
		series.Points = append(series.Points, report.Point{
			X: float64(sorted[index]) / float64(time.Millisecond),
			Y: float64(step) / distributionPoints,
		})
	}
	return series
}

// secondsPerPoint is the number of seconds averaged in a point of throughput.
const secondsPerPoint = 5

func throughputOverTime(name string, perSecond []float64) report.Series {
	series := report.Series{Name: name}
	for end := secondsPerPoint; end <= len(perSecond); end += secondsPerPoint {
		sum := 0.0
		for _, value := range perSecond[end-secondsPerPoint : end] {
			sum += value
		}
		series.Points = append(series.Points, report.Point{X: float64(end), Y: sum / secondsPerPoint})
	}
	return series
}
