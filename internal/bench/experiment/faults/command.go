// Package faults runs a fleet of real processes under fault injection: killed and
// frozen processes, network partitions, lost disks, concurrent operators and
// resubmitted requests. Afterwards it compares the state of the system with the
// responses that clients received.
package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/bench/caller"
	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/fault"
)

// Command is `rockwind-bench experiment faults`.
type Command struct {
	Seed     uint64        `help:"Seed of the faults and the load." default:"1"`
	Duration time.Duration `help:"How long faults go on." default:"60s"`
	JSON     bool          `help:"Print the figures as JSON." name:"json"`
	Folder   string        `help:"Folder for the fleet's files; empty makes a temporary one." type:"path"`
	Programs string        `help:"Folder of the programs; empty takes this program's." type:"path"`
	Kinds    []Kind        `help:"Bring about only these kinds of fault." sep:","`
}

// Report is the result of the experiment.
type Report struct {
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_seconds"`
	itemCounts
	executionCounts
	counts
	// Porcupine is the result of the linearizability check of all configuration
	// applies.
	Porcupine string `json:"porcupine"`
	// Faults counts the injected faults by kind.
	Faults map[Kind]int `json:"faults"`
}

// violations sums the counts that must be zero.
func (r *Report) violations() int {
	bad := r.Lost + r.Unreadable + r.Duplicated + r.Changed + r.Wrong + r.Failed
	bad += r.RepeatedNonRepeatable + r.NotRunButRan
	bad += r.WrongAnswers + r.CutStreamsPlannedStop + r.ConfigReverts + r.LateConfiguration
	bad += r.JobResendsOtherAnswer + r.ItemsAfterCancel
	if r.Porcupine != string(porcupine.Ok) {
		bad++
	}
	return bad
}

// Random number streams, one for each source of load or faults.
const (
	streamControlFaults = iota + 1
	streamEdgeFaults
	streamBatch
	streamService
)

// Parameters of the fleet.
const (
	controls        = 5
	gateways        = 3
	engines         = 4
	services        = 2
	shards          = 2
	inForceTimeout  = 10 * time.Second
	clientIdleConns = 64
)

// Run starts the fleet, runs the experiment and prints the report. It fails if a count of
// violations is above zero.
func (c *Command) Run() error {
	folder := c.Folder
	if folder == "" {
		created, err := os.MkdirTemp("", "rockwind-faults-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(created)
		folder = created
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	plan := fleet.DefaultPlan()
	plan.Controls, plan.Gateways, plan.Engines, plan.Services = controls, gateways, engines, services
	plan.Shards = shards
	plan.ControlArguments = []string{"--allow-fault-injection"}
	plan.GatewayArguments = []string{"--allow-fault-injection"}
	running, err := fleet.Start(ctx, plan, folder, c.Programs)
	if err != nil {
		return err
	}
	defer running.Kill()
	report, err := c.experiment(ctx, running)
	if err != nil {
		return err
	}
	return c.print(report)
}

func (c *Command) print(report *Report) error {
	encoder := json.NewEncoder(os.Stdout)
	if !c.JSON {
		encoder.SetIndent("", "  ")
	}
	if err := encoder.Encode(report); err != nil {
		return err
	}
	if bad := report.violations(); bad > 0 {
		return fault.Newf(fault.Internal, "run again with the same seed and read the counts above zero",
			"%d invariant violations", bad)
	}
	return nil
}

// actors are the clients, operators and fault generators of one run.
type actors struct {
	online    *onlineClient
	service   *serviceClient
	batch     *batchClient
	operators []*operator
	watcher   *watcher
	injector  *injector
	control   *faultGenerator
	edge      *faultGenerator
}

func (c *Command) actors(running *fleet.Fleet, seen *record, history *applyHistory) *actors {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientIdleConns, DisableCompression: true}}
	online := &caller.Caller{Client: client, Key: fleet.APIKey(fleet.TenantName(fleet.GroupPuzzles, 0))}
	batch := &caller.Caller{Client: client, Key: fleet.APIKey(fleet.TenantName(fleet.GroupScheduling, 0))}
	kills := newKillLog()
	all := &actors{
		online:  &onlineClient{fleet: running, caller: online, record: seen, killLog: kills},
		service: &serviceClient{fleet: running, caller: batch, record: seen, random: c.random(streamService)},
		batch:   &batchClient{fleet: running, caller: batch, record: seen, random: c.random(streamBatch)},
		watcher: newWatcher(running, client, seen),
		control: newFaultGenerator(c.Seed, streamControlFaults, c.filterKinds(controlKinds)),
		edge:    newFaultGenerator(c.Seed, streamEdgeFaults, c.filterKinds(edgeKinds)),
	}
	for number, name := range []string{"operator-a", "operator-b", "operator-in-a-hurry"} {
		all.operators = append(all.operators, &operator{
			name: name, fleet: running, record: seen, history: history, client: number,
			number:  running.ConfigurationNumber(),
			service: controlclient.New(controlclient.Options{Machines: running.ControlMachines()}).Configuration(),
		})
	}
	all.injector = &injector{
		fleet: running, client: client, killLog: kills, applyMany: all.operators[2].applySeries,
	}
	return all
}

func (c *Command) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(c.Seed, stream))
}

// filterKinds returns the kinds selected by --kinds, or all if none is selected.
func (c *Command) filterKinds(kinds []Kind) []Kind {
	if len(c.Kinds) == 0 {
		return kinds
	}
	var kept []Kind
	for _, kind := range kinds {
		for _, wanted := range c.Kinds {
			if kind == wanted {
				kept = append(kept, kind)
			}
		}
	}
	return kept
}

func (c *Command) experiment(ctx context.Context, running *fleet.Fleet) (*Report, error) {
	seen := &record{}
	history := newApplyHistory()
	first := running.ConfigurationNumber()
	all := c.actors(running, seen, history)
	report := &Report{Seed: c.Seed, DurationSeconds: c.Duration.Seconds(), Faults: map[Kind]int{}}
	if err := c.runLoadAndFaults(ctx, all, report); err != nil {
		return nil, err
	}
	log.WithField("jobs", len(seen.allJobs())).Info("all faults were injected; checking jobs and requests")
	last := uint64(0)
	for _, operator := range all.operators {
		last = max(last, operator.number)
	}
	all.watcher.awaitInForce(ctx, last, inForceTimeout)
	check := &checker{fleet: running, caller: all.batch.caller, record: seen}
	if err := check.checkJobs(ctx); err != nil {
		return nil, err
	}
	if err := checkExecutions(running, seen, report); err != nil {
		return nil, err
	}
	report.itemCounts = check.items
	report.counts = seen.counts
	report.Porcupine = string(history.check(first))
	return report, nil
}

func checkExecutions(running *fleet.Fleet, seen *record, report *Report) error {
	serviceRuns, err := readJournals(running.Services)
	if err != nil {
		return err
	}
	engineRuns, err := readJournals(running.Engines)
	if err != nil {
		return err
	}
	report.executionCounts = compareJournals(serviceRuns, engineRuns, seen)
	return nil
}

// runLoadAndFaults runs the load and the faults for the duration, then waits until
// the last fault is reverted and every client has its response.
func (c *Command) runLoadAndFaults(ctx context.Context, all *actors, report *Report) error {
	stop, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go all.watcher.run(watching)
	group, groupContext := errgroup.WithContext(ctx)
	injectedControl, injectedEdge := map[Kind]int{}, map[Kind]int{}
	c.startInjector(groupContext, stop, group, all.injector, all.control, injectedControl)
	c.startInjector(groupContext, stop, group, all.injector, all.edge, injectedEdge)
	for _, operator := range all.operators[:2] {
		group.Go(func() error { return operator.run(groupContext, stop) })
	}
	group.Go(func() error { return repeat(groupContext, stop, jobInterval, all.batch.submit) })
	group.Go(func() error { return all.onlineLoad(groupContext, stop) })
	group.Go(func() error { return all.serviceLoad(groupContext, stop) })
	err := group.Wait()
	for _, byKind := range []map[Kind]int{injectedControl, injectedEdge} {
		for kind, count := range byKind {
			report.Faults[kind] += count
		}
	}
	return err
}

func (c *Command) startInjector(ctx, stop context.Context, group *errgroup.Group, base *injector, faults *faultGenerator, injected map[Kind]int) {
	if len(faults.kinds) == 0 {
		return
	}
	own := *base
	own.injected = injected
	group.Go(func() error { return own.run(ctx, stop, faults) })
}

// repeat calls action with increasing numbers until stop is done. It lets a running
// action finish.
func repeat(ctx, stop context.Context, gap time.Duration, action func(context.Context, int) error) error {
	for number := 0; stop.Err() == nil; number++ {
		if err := action(ctx, number); err != nil {
			return fmt.Errorf("action %d: %w", number, err)
		}
		sleep(stop, gap)
	}
	return nil
}

// onlineLoad generates open-loop chat load: it starts a chat every onlineInterval
// without waiting for earlier ones.
func (a *actors) onlineLoad(ctx, stop context.Context) error {
	var running errgroup.Group
	var started atomic.Int64
	err := repeat(ctx, stop, onlineInterval, func(ctx context.Context, number int) error {
		gateway := pick(a.online.fleet.Gateways, int(started.Add(1)))
		running.Go(func() error {
			a.online.chat(ctx, gateway, number)
			return nil
		})
		return nil
	})
	// The functions return no error: chat counts every outcome.
	_ = running.Wait()
	return err
}

// serviceLoad sends non-idempotent service requests, one at a time.
func (a *actors) serviceLoad(ctx, stop context.Context) error {
	return repeat(ctx, stop, serviceInterval, func(ctx context.Context, number int) error {
		a.service.sendBooking(ctx, number)
		return nil
	})
}
