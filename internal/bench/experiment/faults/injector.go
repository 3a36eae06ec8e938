package faults

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/fault"
)

// Timeouts and sizes of faults.
const (
	stopTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	// missedChanges is the number of configurations applied while a gateway is down.
	missedChanges = 300
)

// injector injects faults, one at a time for each fault generator.
type injector struct {
	fleet  *fleet.Fleet
	client *http.Client
	// applyMany applies a number of configurations without pauses.
	applyMany func(ctx context.Context, count int) error
	killLog   *killLog
	// injected counts the injected faults by kind. Each copy of the injector has its
	// own map.
	injected map[Kind]int
}

// run injects faults until stop is done, and reverts the last one before it returns.
func (i *injector) run(ctx, stop context.Context, faults *faultGenerator) error {
	for stop.Err() == nil {
		planned := faults.next()
		log.WithFields(log.Fields{"kind": planned.Kind, "length": planned.Length}).Info("fault")
		if err := i.inject(ctx, planned); err != nil {
			return errors.Wrapf(err, "fault %s", planned.Kind)
		}
		i.injected[planned.Kind]++
		sleep(stop, planned.Gap)
	}
	return nil
}

func (i *injector) inject(ctx context.Context, planned Fault) error {
	control := pick(i.fleet.Controls, planned.Target)
	gateway := pick(i.fleet.Gateways, planned.Target)
	engineProcess := pick(i.fleet.Engines, planned.Target)
	switch planned.Kind {
	case KillControl:
		return i.kill(ctx, control, planned.Length)
	case FreezeControl:
		return freeze(ctx, control, planned.Length)
	case CutControl:
		return i.isolateControl(ctx, control, planned.Length)
	case StopControl:
		return i.stopGracefully(ctx, control)
	case LoseDisk:
		return i.loseDisks(ctx, control)
	case LoseTwoDisks:
		return i.loseDisks(ctx, control, pickOther(i.fleet.Controls, planned.Target, planned.Second))
	case LoseDiskAfterRepair:
		if err := i.loseDisks(ctx, control); err != nil {
			return err
		}
		return i.loseDisks(ctx, pickOther(i.fleet.Controls, planned.Target, planned.Second))
	case LoseDiskWhileCut:
		return i.loseDiskDuringIsolation(ctx, control, pickOther(i.fleet.Controls, planned.Target, planned.Second), planned.Length)
	case KillGateway:
		return i.kill(ctx, gateway, planned.Length)
	case StopGateway:
		return i.stopGracefully(ctx, gateway)
	case FreezeGateway:
		return freeze(ctx, gateway, planned.Length*2)
	case CutGateway:
		return i.isolateGateway(ctx, gateway, planned.Length)
	case MissChanges:
		return i.missChanges(ctx, gateway)
	case KillEngine:
		return i.kill(ctx, engineProcess, planned.Length)
	case FreezeEngine:
		return freeze(ctx, engineProcess, planned.Length)
	default:
		return fault.Newf(fault.Internal, "add a case to inject", "fault %s is not implemented", planned.Kind)
	}
}

func pick(processes []*fleet.Process, target int) *fleet.Process {
	return processes[target%len(processes)]
}

// pickOther returns a process other than the one that pick returns for target.
func pickOther(processes []*fleet.Process, target, second int) *fleet.Process {
	first := target % len(processes)
	offset := 1 + second%(len(processes)-1)
	return processes[(first+offset)%len(processes)]
}

func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

func (i *injector) kill(ctx context.Context, victim *fleet.Process, length time.Duration) error {
	i.killLog.begin(victim.Name)
	victim.Kill()
	i.killLog.end(victim.Name)
	sleep(ctx, length)
	return i.restart(ctx, victim)
}

func (i *injector) restart(ctx context.Context, victim *fleet.Process) error {
	if err := victim.Start(); err != nil {
		return err
	}
	return i.fleet.AwaitReady(ctx, victim)
}

func freeze(ctx context.Context, victim *fleet.Process, length time.Duration) error {
	victim.Suspend()
	sleep(ctx, length)
	victim.Resume()
	return nil
}

// isolateControl drops the traffic between a control machine and all others in both
// directions, without closing connections.
func (i *injector) isolateControl(ctx context.Context, victim *fleet.Process, length time.Duration) error {
	if err := i.setLinks(ctx, victim, true); err != nil {
		return err
	}
	sleep(ctx, length*2)
	return i.setLinks(ctx, victim, false)
}

func (i *injector) setLinks(ctx context.Context, victim *fleet.Process, blocked bool) error {
	for _, other := range i.fleet.Controls {
		if other == victim {
			continue
		}
		if err := i.setLink(ctx, victim, other, blocked); err != nil {
			return err
		}
		if err := i.setLink(ctx, other, victim, blocked); err != nil {
			return err
		}
	}
	return nil
}

// isolateGateway drops the traffic from a gateway to all control machines.
func (i *injector) isolateGateway(ctx context.Context, victim *fleet.Process, length time.Duration) error {
	if err := i.setGatewayLinks(ctx, victim, true); err != nil {
		return err
	}
	sleep(ctx, length*2)
	return i.setGatewayLinks(ctx, victim, false)
}

func (i *injector) setGatewayLinks(ctx context.Context, victim *fleet.Process, blocked bool) error {
	for _, control := range i.fleet.Controls {
		if err := i.setLink(ctx, victim, control, blocked); err != nil {
			return err
		}
	}
	return nil
}

func (i *injector) setLink(ctx context.Context, from, to *fleet.Process, blocked bool) error {
	method := http.MethodDelete
	if blocked {
		method = http.MethodPut
	}
	url := fmt.Sprintf("http://%s/fault-injection/blocked-links/%s", from.InternalAddress, to.Address)
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	response, err := i.client.Do(request)
	if err != nil {
		return errors.Wrapf(err, "change a blocked link of %s", from.Name)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fault.Newf(fault.Unavailable, "start daemons with --allow-fault-injection",
			"%s answered %d to a link change", from.Name, response.StatusCode)
	}
	return nil
}

// loseDisks wipes the disks of control daemons and waits until `rockwind cluster
// status` reports that all replicas are repaired.
func (i *injector) loseDisks(ctx context.Context, victims ...*fleet.Process) error {
	if err := wipeDisks(victims...); err != nil {
		return err
	}
	return i.awaitRepaired(ctx)
}

// loseDiskDuringIsolation wipes a disk while another control machine is isolated.
func (i *injector) loseDiskDuringIsolation(ctx context.Context, victim, isolated *fleet.Process, length time.Duration) error {
	if err := i.setLinks(ctx, isolated, true); err != nil {
		return err
	}
	if err := wipeDisks(victim); err != nil {
		return err
	}
	sleep(ctx, length)
	// The wiped daemon must become ready without the isolated machine.
	if err := i.fleet.AwaitReady(ctx, victim); err != nil {
		return err
	}
	if err := i.setLinks(ctx, isolated, false); err != nil {
		return err
	}
	return i.awaitRepaired(ctx)
}

// wipeDisks kills control daemons, deletes the files on their disks and starts them
// again.
func wipeDisks(victims ...*fleet.Process) error {
	for _, victim := range victims {
		victim.Kill()
	}
	for _, victim := range victims {
		if err := victim.WipeDisk(); err != nil {
			return err
		}
	}
	for _, victim := range victims {
		if err := victim.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (i *injector) stopGracefully(ctx context.Context, victim *fleet.Process) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := victim.Terminate(ctx); err != nil {
		return err
	}
	return i.restart(ctx, victim)
}

func (i *injector) missChanges(ctx context.Context, victim *fleet.Process) error {
	i.killLog.begin(victim.Name)
	victim.Kill()
	i.killLog.end(victim.Name)
	if err := i.applyMany(ctx, missedChanges); err != nil {
		return err
	}
	return i.restart(ctx, victim)
}
