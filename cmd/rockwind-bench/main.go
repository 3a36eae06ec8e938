// Command rockwind-bench runs the benchmark tools of rockwind: stand-ins for the back
// ends and the platform, the load generator, and the experiments.
package main

import (
	"github.com/alecthomas/kong"

	"rockwind.example/rockwind/internal/bench/authority"
	"rockwind.example/rockwind/internal/bench/demo"
	"rockwind.example/rockwind/internal/bench/experiment/calibration"
	"rockwind.example/rockwind/internal/bench/experiment/failures"
	"rockwind.example/rockwind/internal/bench/experiment/faults"
	"rockwind.example/rockwind/internal/bench/experiment/ledgercost"
	"rockwind.example/rockwind/internal/bench/experiment/overhead"
	"rockwind.example/rockwind/internal/bench/experiment/placementshift"
	"rockwind.example/rockwind/internal/bench/experiment/propagation"
	"rockwind.example/rockwind/internal/bench/experiment/routingcomparison"
	"rockwind.example/rockwind/internal/bench/experiment/shares"
	"rockwind.example/rockwind/internal/bench/experiment/sharing"
	"rockwind.example/rockwind/internal/bench/hollow"
	"rockwind.example/rockwind/internal/bench/load"
	"rockwind.example/rockwind/internal/bench/simulate"
	"rockwind.example/rockwind/internal/bench/soak"
	"rockwind.example/rockwind/internal/standin"
)

// arguments defines the command line; each subcommand has its own package.
type arguments struct {
	Engine   standin.EngineCommand   `cmd:"" help:"Run a stand-in for a model engine."`
	Service  standin.ServiceCommand  `cmd:"" help:"Run a stand-in for a plain HTTP service."`
	Platform standin.PlatformCommand `cmd:"" help:"Run a stand-in for the platform's list of machines."`
	Weights  standin.WeightsCommand  `cmd:"" help:"Run a stand-in for the weight store."`

	Load  load.Command      `cmd:"" help:"Send load and check every answer."`
	Trace load.TraceCommand `cmd:"" help:"Write a trace of the two deployments' load."`

	Hollow hollow.Commands `cmd:"" help:"Run many followers of the configuration in one process."`

	Soak soak.Command `cmd:"" help:"Harm a site of real processes from outside and check what must always hold."`

	Certificates authority.Command `cmd:"" help:"Make an authority and certificates for trials of TLS."`

	Simulate simulate.Command `cmd:"" help:"Run a policy on a scenario in virtual time."`

	Fleet fleetCommands `cmd:"" help:"Run whole fleets of processes on loopback."`

	Experiment experiments `cmd:"" help:"Run an experiment and print its figures."`
}

// experiments lists the experiments; each is a package under internal/bench.
type experiments struct {
	Calibration calibration.Command `cmd:"" help:"Compare real processes with the simulator on one load."`

	Placement placementshift.Command `cmd:"" help:"Measure how placement follows a shift of demand, in virtual time."`

	Overhead overhead.Command          `cmd:"" help:"Measure what a gateway adds to a request."`
	Ledger   ledgercost.Command        `cmd:"" help:"Measure what keeping the state of jobs costs, and recovery and failover."`
	Config   propagation.Command       `cmd:"" help:"Measure how fast a configuration is in force everywhere, and what it costs."`
	Faults   faults.Command            `cmd:"" help:"Bring faults about on real processes and judge what must always hold."`
	Failures failures.Command          `cmd:"" help:"Measure what failures do to online requests, with and without protections."`
	Routing  routingcomparison.Command `cmd:"" help:"Measure routing against baselines under lagging reports and lost cache events."`
	Sharing  sharing.Command           `cmd:"" help:"Judge batch throughput against harm to the online tail, in virtual time."`
	Shares   shares.Command            `cmd:"" help:"Judge lending and reclaiming among three groups, in virtual time."`
}

// fleetCommands lists the commands that run a complete system.
type fleetCommands struct {
	Demo demo.Command `cmd:"" help:"Run the whole system for a minute and show what it does."`
}

func main() {
	var command arguments
	parsed := kong.Parse(&command,
		kong.Name("rockwind-bench"),
		kong.Description("Stand-ins, load and experiments for rockwind."),
		kong.UsageOnError(),
	)
	parsed.FatalIfErrorf(parsed.Run())
}
