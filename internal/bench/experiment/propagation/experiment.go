package propagation

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/hollow"
	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// awayDaemons is the number of daemons stopped until control has dropped the
	// changes that they miss.
	awayDaemons = 2
	// configurationTimeout bounds the wait until all daemons have a configuration.
	configurationTimeout = 60 * time.Second
	// changesWhileKilled is the number of changes applied while a process of daemons
	// is down.
	changesWhileKilled = 3
)

// experiment is the state of one run.
type experiment struct {
	options  *Command
	fleet    *fleet.Fleet
	operator rockwindpb.ConfigurationService
	hosts    []*host
	away     *host
	result   *Result
	// current is the last applied configuration.
	current *rockwindpb.Configuration
}

func newExperiment(options *Command, running *fleet.Fleet, folder string) *experiment {
	programs := options.Programs
	if programs == "" {
		// The error can be ignored: without this path, starting the fleet has failed.
		executable, _ := os.Executable()
		programs = filepath.Dir(executable)
	}
	control := running.ControlMachines()
	e := &experiment{
		options:  options,
		fleet:    running,
		operator: controlclient.New(controlclient.Options{Machines: control}).Configuration(),
		result:   &Result{Daemons: options.Daemons, Tenants: options.Tenants},
	}
	e.away = newHost("away", folder, programs, control, followerNames("away", 0, awayDaemons))
	for first := 0; first < options.Daemons-awayDaemons; first += options.PerProcess {
		count := min(options.PerProcess, options.Daemons-awayDaemons-first)
		names := followerNames("daemon", first, count)
		e.hosts = append(e.hosts, newHost(fmt.Sprintf("followers-%d", first), folder, programs, control, names))
	}
	return e
}

func followerNames(prefix string, first, count int) []string {
	var names []string
	for number := first; number < first+count; number++ {
		names = append(names, fmt.Sprintf("%s-%03d", prefix, number))
	}
	return names
}

// kill kills the processes of the followers.
func (e *experiment) kill() {
	for _, each := range append([]*host{e.away}, e.hosts...) {
		each.process.Kill()
	}
}

func (e *experiment) run(ctx context.Context) error {
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"miss changes", e.missChanges},
		{"apply the whole", e.applyFullSize},
		{"start the daemons", e.startDaemons},
		{"stay idle", e.measureIdle},
		{"apply changes", e.measureSteady},
		{"apply changes while daemons restart", e.measureWhileRestarting},
		{"return after changes were dropped", e.rejoinAway},
		{"return after a kill", e.rejoinKilled},
		{"count", e.countViolations},
	}
	for _, step := range steps {
		if err := step.run(ctx); err != nil {
			return errors.Wrap(err, step.name)
		}
	}
	return nil
}

// missChanges gives the away daemons a first configuration, stops them, and applies
// more changes than control keeps.
func (e *experiment) missChanges(ctx context.Context) error {
	if err := e.away.start(ctx); err != nil {
		return err
	}
	e.current = e.fleet.Configuration()
	e.current.Number = e.fleet.ConfigurationNumber()
	if err := e.awaitConfiguration(ctx, []*host{e.away}, e.current.GetNumber()); err != nil {
		return err
	}
	for _, name := range e.away.names {
		if err := e.away.command(ctx, hollow.StopPath, name); err != nil {
			return err
		}
	}
	for range e.options.Burst {
		if err := e.applyNext(ctx, e.nextChange()); err != nil {
			return err
		}
	}
	return nil
}

// nextChange returns the next configuration, which changes the limits of one tenant.
func (e *experiment) nextChange() *rockwindpb.Configuration {
	next := proto.CloneOf(e.current)
	next.Number++
	tenants := next.GetTenants()
	changed := tenants[int(next.GetNumber())%len(tenants)]
	changed.Limits = &rockwindpb.Limits{RequestsPerSecond: float64(next.GetNumber()), Concurrency: uint32(next.GetNumber())}
	return next
}

func (e *experiment) applyNext(ctx context.Context, next *rockwindpb.Configuration) error {
	_, err := e.operator.Apply(ctx, &rockwindpb.ApplyConfigurationRequest{Configuration: next, Operator: "experiment"})
	if err == nil {
		e.current = next
	}
	return err
}

// applyFullSize applies the configuration with all tenants, with the operator's
// command.
func (e *experiment) applyFullSize(ctx context.Context) error {
	e.fleet.Plan.Tenants = e.options.Tenants / len(fleet.Groups())
	whole := e.fleet.Configuration()
	whole.Number = e.current.GetNumber() + 1
	started := time.Now()
	if err := e.fleet.Apply(ctx, whole); err != nil {
		return err
	}
	e.result.OperatorApplyMs = milliseconds(time.Since(started))
	e.current = whole
	return nil
}

func (e *experiment) startDaemons(ctx context.Context) error {
	started := time.Now()
	if err := startAll(ctx, e.hosts); err != nil {
		return err
	}
	if err := e.awaitConfiguration(ctx, e.hosts, e.current.GetNumber()); err != nil {
		return err
	}
	e.result.FirstTransferMs = milliseconds(time.Since(started))
	return nil
}

// measureIdle measures the traffic without changes.
func (e *experiment) measureIdle(ctx context.Context) error {
	before, err := reportsOf(ctx, e.hosts)
	if err != nil {
		return err
	}
	select {
	case <-time.After(e.options.Idle):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := reportsOf(ctx, e.hosts)
	if err != nil {
		return err
	}
	total := int64(0)
	for index := range after {
		total += after[index].Control.Minus(before[index].Control).Total()
	}
	e.result.IdleBytesPerDaemonSecond = float64(total) / float64(len(after)) / e.options.Idle.Seconds()
	return nil
}

// awaitConfiguration waits until all followers of the hosts have at least the given
// configuration in force.
func (e *experiment) awaitConfiguration(ctx context.Context, hosts []*host, number uint64) error {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	for {
		reports, err := reportsOf(ctx, hosts)
		if err != nil {
			return err
		}
		if missing := countMissing(reports, number); missing == 0 {
			return nil
		}
		pause(ctx)
	}
}

func countMissing(reports []hollow.FollowerReport, number uint64) int {
	missing := 0
	for _, each := range reports {
		if newestNumber(each) < number {
			missing++
		}
	}
	return missing
}

// rejoinAway starts the away daemons and measures until they have the newest
// configuration.
func (e *experiment) rejoinAway(ctx context.Context) error {
	before, err := e.away.reports(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	for _, name := range e.away.names {
		if err := e.away.command(ctx, hollow.StartPath, name); err != nil {
			return err
		}
	}
	if err := e.awaitConfiguration(ctx, []*host{e.away}, e.current.GetNumber()); err != nil {
		return err
	}
	e.result.Away = Rejoin{
		Daemons: awayDaemons, InForceMs: milliseconds(time.Since(started)),
		Missed: int(e.current.GetNumber() - newestNumber(before[0])),
	}
	after, err := e.away.reports(ctx)
	e.result.Away.add(before, after)
	e.hosts = append(e.hosts, e.away)
	return err
}

// add adds the transfers and traffic of daemons between two reports.
func (r *Rejoin) add(before, after []hollow.FollowerReport) {
	total := int64(0)
	for index := range after {
		r.FullTransfers += after[index].FullConfigurations - before[index].FullConfigurations
		total += after[index].Control.Minus(before[index].Control).Total()
	}
	r.BytesPerDaemon = float64(total) / float64(max(1, len(after)))
}

// rejoinKilled kills a process of daemons, applies changes, starts it again and
// measures until its daemons have the newest configuration.
func (e *experiment) rejoinKilled(ctx context.Context) error {
	victim := e.hosts[0]
	before, err := victim.reports(ctx)
	if err != nil {
		return err
	}
	victim.process.Kill()
	for range changesWhileKilled {
		if err := e.applyNext(ctx, e.nextChange()); err != nil {
			return err
		}
	}
	started := time.Now()
	if err := victim.start(ctx); err != nil {
		return err
	}
	if err := e.awaitConfiguration(ctx, []*host{victim}, e.current.GetNumber()); err != nil {
		return err
	}
	e.result.Killed = Rejoin{
		Daemons: len(victim.names), Missed: changesWhileKilled, InForceMs: milliseconds(time.Since(started)),
	}
	after, err := victim.reports(ctx)
	if err != nil {
		return err
	}
	// The counters of the new process start at zero.
	e.result.Killed.add(make([]hollow.FollowerReport, len(after)), after)
	for index := range after {
		if after[index].InForce[0].Number < newestNumber(before[index]) {
			e.result.Reverts++
		}
	}
	return nil
}

// countViolations counts reverts and missing configurations. rejoinKilled has already
// counted the reverts across its restart.
func (e *experiment) countViolations(ctx context.Context) error {
	if err := e.awaitConfiguration(ctx, e.hosts, e.current.GetNumber()); err != nil {
		return err
	}
	reports, err := reportsOf(ctx, e.hosts)
	if err != nil {
		return err
	}
	e.result.Missing = countMissing(reports, e.current.GetNumber())
	for _, each := range reports {
		e.result.Reverts += each.Reverts
	}
	return nil
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
