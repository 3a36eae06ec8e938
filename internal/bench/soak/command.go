// Package soak runs a site of real processes on one machine, harms them from outside
// for a while, and checks what must always hold from what callers and back ends see.
// The faults and the load follow from a seed; the moments at which processes meet
// them do not, so that a seed that failed is likely, not certain, to fail again.
package soak

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/bench/soak/witness"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/retry"
)

// Command is `rockwind-bench soak`.
type Command struct {
	Seeds    []uint64      `help:"Seeds to run one after the other; none draws fresh ones." sep:","`
	Count    int           `help:"How many fresh seeds to draw where none is given." default:"1"`
	Cases    bool          `help:"Run the kept seeds, which failed once, instead."`
	Duration time.Duration `help:"How long faults go on, for each seed." default:"40s"`
	Kinds    []Kind        `help:"Bring about only these kinds of fault." sep:","`
	Folder   string        `help:"Folder for the processes' files and logs; empty makes a temporary one." type:"path"`
	Program  string        `help:"The program rockwind; empty takes the one beside this program." type:"path"`
}

// Bounds of one run.
const (
	firstTimeout = 30 * time.Second
	// recoverWithin is how long after the last fault requests must be served, and
	// finishWithin how long after that all items must have results.
	recoverWithin = 20 * time.Second
	finishWithin  = 30 * time.Second
)

// Report is the outcome of one seed.
type Report struct {
	Seed       uint64              `json:"seed"`
	Duration   string              `json:"duration"`
	Folder     string              `json:"folder"`
	Counts     map[string]int      `json:"counts"`
	Violations []witness.Violation `json:"violations"`
}

//go:embed cases.txt
var cases string

// Run runs the soak and fails where something was broken.
func (c *Command) Run() error {
	seeds, err := c.seeds()
	if err != nil {
		return err
	}
	broken := 0
	for _, seed := range seeds {
		report, err := c.one(seed)
		if err != nil {
			return err
		}
		encoded, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		fmt.Println(string(encoded))
		if len(report.Violations) > 0 {
			broken++
		} else if c.Folder == "" {
			os.RemoveAll(report.Folder)
		}
	}
	if broken > 0 {
		return fault.Newf(fault.Internal, "read the violations and the logs in the folders", "%d of %d seeds broke a rule", broken, len(seeds))
	}
	return nil
}

func (c *Command) seeds() ([]uint64, error) {
	if c.Cases {
		return keptSeeds(cases)
	}
	if len(c.Seeds) > 0 {
		return c.Seeds, nil
	}
	var drawn []uint64
	for number := range c.Count {
		drawn = append(drawn, uint64(time.Now().UnixMilli())+uint64(number))
	}
	return drawn, nil
}

// keptSeeds reads the seeds of the cases: the first word of each line that is no
// comment.
func keptSeeds(text string) ([]uint64, error) {
	var kept []uint64
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		if err != nil {
			return nil, fault.Newf(fault.InvalidArgument, "begin each line with a seed, and then say the cause", "the case %q has no seed", line)
		}
		kept = append(kept, seed)
	}
	return kept, nil
}

// run is the soak of one seed.
type run struct {
	seed     uint64
	began    time.Time
	witness  *witness.Witness
	calm     *calmness
	site     *site
	places   []*place
	operator *operator
	// faultsBegan is when the faults began.
	faultsBegan time.Duration
	// probes counts the looks whether the site serves, each by a caller of its own.
	probes int
	// clients are the goroutines that follow jobs, submitting counts those that have
	// not handed theirs in yet.
	clients    sync.WaitGroup
	submitting sync.WaitGroup
}

func (r *run) since() time.Duration { return time.Since(r.began) }

func (c *Command) one(seed uint64) (*Report, error) {
	folder, err := c.folder(seed)
	if err != nil {
		return nil, err
	}
	program := c.Program
	if program == "" {
		own, err := os.Executable()
		if err != nil {
			return nil, err
		}
		program = filepath.Join(filepath.Dir(own), "rockwind")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &run{seed: seed, began: time.Now(), witness: witness.New()}
	r.calm = &calmness{now: r.since}
	if err := r.start(ctx, folder, program); err != nil {
		if r.site != nil {
			r.site.end()
		}
		return nil, err
	}
	defer r.site.end()
	r.soak(ctx, NewPlan(seed, c.Duration, c.kinds()))
	return &Report{
		Seed: seed, Duration: c.Duration.String(), Folder: folder, Counts: r.witness.Counts(), Violations: r.witness.Violations(),
	}, nil
}

func (c *Command) kinds() []Kind {
	if len(c.Kinds) > 0 {
		return c.Kinds
	}
	return Kinds()
}

func (c *Command) folder(seed uint64) (string, error) {
	if c.Folder != "" {
		return filepath.Join(c.Folder, strconv.FormatUint(seed, 10)), nil
	}
	return os.MkdirTemp("", fmt.Sprintf("rockwind-soak-%d-", seed))
}

// start brings the site up until it serves.
func (r *run) start(ctx context.Context, folder, program string) error {
	made, err := newSite(ctx, folder, program)
	if err != nil {
		return err
	}
	r.site = made
	r.operator = newOperator(r)
	if err := made.begin(); err != nil {
		return err
	}
	for number := range servers {
		added, err := newPlace(ctx, number)
		if err != nil {
			return err
		}
		r.places = append(r.places, added)
		if err := added.revive(r); err != nil {
			return err
		}
		go added.beat(ctx, r)
	}
	first, cancel := context.WithTimeout(ctx, firstTimeout)
	defer cancel()
	if err := r.operator.apply(first, 1); err != nil {
		return err
	}
	if err := r.recovered(ctx, firstTimeout); err != nil {
		return err
	}
	return made.founded()
}

// soak runs load and faults, lets everything recover, and judges.
func (r *run) soak(ctx context.Context, plan []Fault) {
	loading, stopLoad := context.WithCancel(ctx)
	following, stopFollowing := context.WithCancel(ctx)
	defer stopFollowing()
	var load sync.WaitGroup
	for number := range callers {
		load.Go(func() { newCaller(r, number).call(loading) })
	}
	for number := range slowReaders {
		load.Go(func() { newSlowReader(r, number).read(loading) })
	}
	for _, each := range r.tenantCallers() {
		load.Go(func() { each.call(loading) })
	}
	load.Go(func() { r.endBackEnds(loading) })
	load.Go(func() { r.watchUse(loading) })
	load.Go(func() { r.watchMemory(loading) })
	load.Go(func() { r.submitAll(loading, following) })
	load.Go(func() { r.operator.operate(loading) })
	load.Go(func() { r.operator.readBack(loading) })
	for _, at := range r.site.routers() {
		load.Go(func() { r.operator.watchRouter(loading, at) })
	}
	r.faultsBegan = r.since()
	r.inject(ctx, plan)
	if err := r.recovered(ctx, recoverWithin); err != nil {
		r.witness.Report(witness.NoRecovery, "site", err.Error(), r.since())
	}
	retry.Pause(ctx, touchTime+inForceWithin)
	stopLoad()
	load.Wait()
	r.submitting.Wait()
	finishing, cancel := context.WithTimeout(ctx, finishWithin)
	defer cancel()
	r.settleJobs(finishing)
	stopFollowing()
	r.clients.Wait()
	r.witness.Finish(r.since())
	log.WithField("seed", r.seed).WithField("violations", len(r.witness.Violations())).Info("seed is done")
}
