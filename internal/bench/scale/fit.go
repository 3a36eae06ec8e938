package scale

import (
	"gonum.org/v1/gonum/stat"

	"rockwind.example/rockwind/internal/bench/slope"
)

// figure is one cost that is read from every run.
type figure struct {
	name, unit string
	// scale turns the cost into its unit.
	scale float64
	read  func(*Result) float64
	// worst reads the worst daemon or machine, nil where there is none.
	worst func(*Result) float64
}

// window returns the window of a run, the zero value where it has none.
func (r *Result) window(name string) Window {
	for _, each := range r.Windows {
		if each.Name == name {
			return each
		}
	}
	return Window{}
}

// controlMean averages a figure over the control machines of the idle window.
func (r *Result) controlMean(read func(ControlFigures) float64) float64 {
	return stat.Mean(r.controlValues(read), nil)
}

func (r *Result) controlWorst(read func(ControlFigures) float64) float64 {
	return spreadOf(r.controlValues(read)).Worst
}

func (r *Result) controlValues(read func(ControlFigures) float64) []float64 {
	var values []float64
	for _, each := range r.window(windowIdle).Controls {
		values = append(values, read(each))
	}
	return values
}

// changeCost is what one change costs a daemon: the difference between the
// window with changes and the idle one.
func (r *Result) changeCost(read func(DaemonFigures) float64) float64 {
	changes := r.window(windowChanges)
	if changes.Name == "" || r.Events.Changes == 0 {
		return 0
	}
	difference := read(changes.Daemons) - read(r.window(windowIdle).Daemons)
	return difference * changes.Seconds / float64(r.Events.Changes)
}

const (
	percent  = 100
	megabyte = 1e6
	milli    = 1e3
	kilo     = 1e3
)

// Names of the figures.
const (
	figureHollowCPU       = "daemon: CPU, hollow"
	figureRealCPU         = "daemon: CPU, real"
	figureRealResident    = "daemon: memory, real"
	figureControlCalls    = "daemon: traffic with control"
	figurePolls           = "daemon: traffic of polls"
	figureChangeCPU       = "daemon: CPU of one change"
	figureControlCPU      = "control machine: CPU"
	figureControlResident = "control machine: memory"
	figureControlTraffic  = "control machine: traffic"
)

// figures lists the costs of daemons and control machines.
func figures() []figure {
	idle := func(read func(DaemonFigures) Spread) figure {
		return figure{
			read:  func(r *Result) float64 { return read(r.window(windowIdle).Daemons).Mean },
			worst: func(r *Result) float64 { return read(r.window(windowIdle).Daemons).Worst },
		}
	}
	control := func(read func(ControlFigures) float64) figure {
		return figure{
			read:  func(r *Result) float64 { return r.controlMean(read) },
			worst: func(r *Result) float64 { return r.controlWorst(read) },
		}
	}
	return []figure{
		idle(func(d DaemonFigures) Spread { return d.CPU }).named(figureHollowCPU, "% of a core", percent),
		idle(func(d DaemonFigures) Spread { return d.RealCPU }).named(figureRealCPU, "% of a core", percent),
		idle(func(d DaemonFigures) Spread { return d.RealResident }).named(figureRealResident, "MB", 1/megabyte),
		idle(func(d DaemonFigures) Spread { return d.Control }).named(figureControlCalls, "B/s", 1),
		idle(func(d DaemonFigures) Spread { return d.Polls }).named(figurePolls, "B/s", 1),
		{
			name: figureChangeCPU, unit: "ms", scale: milli,
			read: func(r *Result) float64 {
				return r.changeCost(func(d DaemonFigures) float64 { return d.CPU.Mean })
			},
		},
		control(func(c ControlFigures) float64 { return c.CPU }).named(figureControlCPU, "% of a core", percent),
		control(func(c ControlFigures) float64 { return c.Resident }).named(figureControlResident, "MB", 1/megabyte),
		control(func(c ControlFigures) float64 { return c.Sent + c.Received }).named(figureControlTraffic, "KB/s", 1/kilo),
	}
}

func (f figure) named(name, unit string, scale float64) figure {
	f.name, f.unit, f.scale = name, unit, scale
	return f
}

// Slope is how one cost grows with one dimension.
type Slope struct {
	Figure    string        `json:"figure"`
	Unit      string        `json:"unit"`
	Dimension string        `json:"dimension"`
	Points    []slope.Point `json:"points"`
	Line      slope.Line    `json:"line"`
	// Growth is the cost that the slope adds between the base of the sweep and the
	// target.
	Growth float64 `json:"growth_to_target"`
}

// Outlook is what the slopes give for one cost at the target, and what the run of
// the full size measured.
type Outlook struct {
	Figure string `json:"figure"`
	Unit   string `json:"unit"`
	// WorkedOut is the base and the growth along all dimensions.
	WorkedOut float64 `json:"worked_out"`
	// Uncertainty sums the largest residuals of the fits that it rests on.
	Uncertainty float64 `json:"uncertainty"`
	// Measured is the mean of the full run, Worst its worst daemon or machine; both
	// are zero where the full run has no such figure.
	Measured float64 `json:"measured"`
	Worst    float64 `json:"worst"`
}

// fit fits every figure along every dimension and works out the target.
func (s *Sweep) fit(measured map[Size]*Result) {
	base := measured[sweepBase]
	for _, cost := range figures() {
		outlook := Outlook{Figure: cost.name, Unit: cost.unit, WorkedOut: cost.read(base) * cost.scale}
		for _, along := range dimensions() {
			fitted := fitAlong(cost, along, measured)
			s.Slopes = append(s.Slopes, fitted)
			outlook.WorkedOut += fitted.Growth
			if fitted.Growth != 0 {
				outlook.Uncertainty += fitted.Line.LargestResidual
			}
		}
		if cost.worst != nil {
			outlook.Measured, outlook.Worst = cost.read(s.Full)*cost.scale, cost.worst(s.Full)*cost.scale
		}
		s.Outlook = append(s.Outlook, outlook)
	}
}

// refit fits the runs that the sweep holds anew.
func (s *Sweep) refit() {
	measured := make(map[Size]*Result)
	for _, run := range s.Runs {
		measured[run.Size] = run
	}
	s.Slopes, s.Outlook = nil, nil
	s.fit(measured)
}

func fitAlong(cost figure, along dimension, measured map[Size]*Result) Slope {
	fitted := Slope{Figure: cost.name, Unit: cost.unit, Dimension: along.name}
	for _, value := range along.values {
		size := along.set(value)
		fitted.Points = append(fitted.Points, slope.Point{
			Size: along.size(size), Cost: cost.read(measured[size]) * cost.scale,
		})
	}
	fitted.Line = slope.Fit(fitted.Points)
	fitted.Growth = fitted.Line.Slope * (along.targetValue - along.size(sweepBase))
	return fitted
}
