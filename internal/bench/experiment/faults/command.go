// Package faults runs a fleet of real processes under kills, frozen processes,
// cut links, lost disks, racing operators and resends, and compares what the
// system holds afterwards with what its clients were told.
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

// Report is the outcome of the experiment.
type Report struct {
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_seconds"`
	itemCounts
	ranCounts
	counts
	// Porcupine is the verdict of the linearizability check over all applies.
	Porcupine string `json:"porcupine"`
	// Faults counts the faults that struck, by kind.
	Faults map[Kind]int `json:"faults"`
}

// violations counts what must never happen.
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

// Streams of randomness, one for each part of the experiment.
const (
	streamControlFaults = iota + 1
	streamEdgeFaults
	streamBatch
	streamService
)

// Shape of the fleet under faults.
const (
	controls        = 5
	gateways        = 3
	engines         = 4
	services        = 2
	shards          = 2
	inForceWithin   = 10 * time.Second
	clientIdleConns = 64
)

// Run implements the command.
func (c *Command) Run() error {
	folder := c.Folder
	if folder == "" {
		made, err := os.MkdirTemp("", "rockwind-faults-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(made)
		folder = made
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
			"%d violations of what must always hold", bad)
	}
	return nil
}

// parts are the actors of one experiment.
type parts struct {
	online    *onlineClient
	service   *serviceClient
	batch     *batchClient
	operators []*operator
	watcher   *watcher
	injector  *injector
	control   *track
	edge      *track
}

func (c *Command) parts(running *fleet.Fleet, seen *record, history *applyHistory) *parts {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientIdleConns, DisableCompression: true}}
	online := &caller.Caller{Client: client, Key: fleet.APIKey(fleet.TenantName(fleet.GroupPuzzles, 0))}
	batch := &caller.Caller{Client: client, Key: fleet.APIKey(fleet.TenantName(fleet.GroupScheduling, 0))}
	struck := newKills()
	made := &parts{
		online:  &onlineClient{fleet: running, caller: online, record: seen, kills: struck},
		service: &serviceClient{fleet: running, caller: batch, record: seen, random: c.random(streamService)},
		batch:   &batchClient{fleet: running, caller: batch, record: seen, random: c.random(streamBatch)},
		watcher: newWatcher(running, client, seen),
		control: newTrack(c.Seed, streamControlFaults, c.only(controlKinds)),
		edge:    newTrack(c.Seed, streamEdgeFaults, c.only(edgeKinds)),
	}
	for number, name := range []string{"operator-a", "operator-b", "operator-in-a-hurry"} {
		made.operators = append(made.operators, &operator{
			name: name, fleet: running, record: seen, history: history, client: number,
			number:  running.ConfigurationNumber(),
			service: controlclient.New(controlclient.Options{Machines: running.ControlMachines()}).Configuration(),
		})
	}
	made.injector = &injector{
		fleet: running, client: client, kills: struck, changes: made.operators[2].hurry,
	}
	return made
}

func (c *Command) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(c.Seed, stream))
}

// only keeps the kinds that the command asks for.
func (c *Command) only(kinds []Kind) []Kind {
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
	made := c.parts(running, seen, history)
	report := &Report{Seed: c.Seed, DurationSeconds: c.Duration.Seconds(), Faults: map[Kind]int{}}
	if err := c.storm(ctx, made, report); err != nil {
		return nil, err
	}
	log.WithField("jobs", len(seen.allJobs())).Info("the faults are over; what is left is checked")
	last := uint64(0)
	for _, operator := range made.operators {
		last = max(last, operator.number)
	}
	made.watcher.awaitInForce(ctx, last, inForceWithin)
	check := &checker{fleet: running, caller: made.batch.caller, record: seen}
	if err := check.checkJobs(ctx); err != nil {
		return nil, err
	}
	if err := judgeRuns(running, seen, report); err != nil {
		return nil, err
	}
	report.itemCounts = check.items
	report.counts = seen.counts
	report.Porcupine = string(history.check(first))
	return report, nil
}

func judgeRuns(running *fleet.Fleet, seen *record, report *Report) error {
	serviceRuns, err := readJournals(running.Services)
	if err != nil {
		return err
	}
	engineRuns, err := readJournals(running.Engines)
	if err != nil {
		return err
	}
	report.ranCounts = judgeJournals(serviceRuns, engineRuns, seen)
	return nil
}

// storm runs load and faults together until the duration is over, and waits
// until the last fault is healed and every client has its answer.
func (c *Command) storm(ctx context.Context, made *parts, report *Report) error {
	stop, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go made.watcher.run(watching)
	group, groupContext := errgroup.WithContext(ctx)
	struckControl, struckEdge := map[Kind]int{}, map[Kind]int{}
	c.goFaults(groupContext, stop, group, made.injector, made.control, struckControl)
	c.goFaults(groupContext, stop, group, made.injector, made.edge, struckEdge)
	for _, operator := range made.operators[:2] {
		group.Go(func() error { return operator.run(groupContext, stop) })
	}
	group.Go(func() error { return repeat(groupContext, stop, jobGap, made.batch.submit) })
	group.Go(func() error { return made.onlineLoad(groupContext, stop) })
	group.Go(func() error { return made.serviceLoad(groupContext, stop) })
	err := group.Wait()
	for _, struck := range []map[Kind]int{struckControl, struckEdge} {
		for kind, count := range struck {
			report.Faults[kind] += count
		}
	}
	return err
}

func (c *Command) goFaults(ctx, stop context.Context, group *errgroup.Group, base *injector, faults *track, struck map[Kind]int) {
	if len(faults.kinds) == 0 {
		return
	}
	own := *base
	own.struck = struck
	group.Go(func() error { return own.run(ctx, stop, faults) })
}

// repeat calls action with growing numbers until stop is done; an action that
// is under way ends first.
func repeat(ctx, stop context.Context, gap time.Duration, action func(context.Context, int) error) error {
	for number := 0; stop.Err() == nil; number++ {
		if err := action(ctx, number); err != nil {
			return fmt.Errorf("action %d: %w", number, err)
		}
		wait(stop, gap)
	}
	return nil
}

// onlineLoad starts a chat at each gap, however long the answers take.
func (p *parts) onlineLoad(ctx, stop context.Context) error {
	var running errgroup.Group
	var started atomic.Int64
	err := repeat(ctx, stop, onlineGap, func(ctx context.Context, number int) error {
		gateway := pick(p.online.fleet.Gateways, int(started.Add(1)))
		running.Go(func() error {
			p.online.chat(ctx, gateway, number)
			return nil
		})
		return nil
	})
	// Chats report no error: each is judged and counted.
	_ = running.Wait()
	return err
}

// serviceLoad sends requests that may not be repeated, one after another.
func (p *parts) serviceLoad(ctx, stop context.Context) error {
	return repeat(ctx, stop, serviceGap, func(ctx context.Context, number int) error {
		p.service.book(ctx, number)
		return nil
	})
}
