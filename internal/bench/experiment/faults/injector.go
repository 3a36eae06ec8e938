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

// Bounds of waiting in the injector.
const (
	planStopTimeout = 60 * time.Second
	pollGap         = 50 * time.Millisecond
	// missedChanges is how many configurations pass a gateway that is down.
	missedChanges = 300
)

// injector brings faults about, one at a time on each track.
type injector struct {
	fleet  *fleet.Fleet
	client *http.Client
	// changes asks the operators for a number of configurations in a hurry.
	changes func(ctx context.Context, count int) error
	kills   *kills
	// struck counts the faults brought about, by kind; each track has its own.
	struck map[Kind]int
}

// run strikes until stop is done; the last fault is healed before it returns.
func (i *injector) run(ctx, stop context.Context, faults *track) error {
	for stop.Err() == nil {
		planned := faults.next()
		log.WithFields(log.Fields{"kind": planned.Kind, "length": planned.Length}).Info("fault")
		if err := i.strike(ctx, planned); err != nil {
			return errors.Wrapf(err, "fault %s", planned.Kind)
		}
		i.struck[planned.Kind]++
		wait(stop, planned.Gap)
	}
	return nil
}

func (i *injector) strike(ctx context.Context, planned Fault) error {
	control := pick(i.fleet.Controls, planned.Target)
	gateway := pick(i.fleet.Gateways, planned.Target)
	backEnd := pick(i.fleet.Engines, planned.Target)
	switch planned.Kind {
	case KillControl:
		return i.kill(ctx, control, planned.Length)
	case FreezeControl:
		return freeze(ctx, control, planned.Length)
	case CutControl:
		return i.cut(ctx, control, planned.Length)
	case StopControl:
		return i.stopAsPlanned(ctx, control)
	case LoseDisk:
		return i.loseDisks(ctx, control)
	case LoseTwoDisks:
		return i.loseDisks(ctx, control, another(i.fleet.Controls, planned.Target, planned.Second))
	case LoseDiskAfterRepair:
		if err := i.loseDisks(ctx, control); err != nil {
			return err
		}
		return i.loseDisks(ctx, another(i.fleet.Controls, planned.Target, planned.Second))
	case LoseDiskWhileCut:
		return i.loseDiskWhileCut(ctx, control, another(i.fleet.Controls, planned.Target, planned.Second), planned.Length)
	case KillGateway:
		return i.kill(ctx, gateway, planned.Length)
	case StopGateway:
		return i.stopAsPlanned(ctx, gateway)
	case FreezeGateway:
		return freeze(ctx, gateway, planned.Length*2)
	case CutGateway:
		return i.cutGateway(ctx, gateway, planned.Length)
	case MissChanges:
		return i.missChanges(ctx, gateway)
	case KillEngine:
		return i.kill(ctx, backEnd, planned.Length)
	case FreezeEngine:
		return freeze(ctx, backEnd, planned.Length)
	default:
		return fault.Newf(fault.Internal, "add it to strike", "fault %s is not implemented", planned.Kind)
	}
}

func pick(processes []*fleet.Process, target int) *fleet.Process {
	return processes[target%len(processes)]
}

// another picks a process other than the one that target picks.
func another(processes []*fleet.Process, target, second int) *fleet.Process {
	first := target % len(processes)
	offset := 1 + second%(len(processes)-1)
	return processes[(first+offset)%len(processes)]
}

func wait(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

func (i *injector) kill(ctx context.Context, victim *fleet.Process, length time.Duration) error {
	i.kills.begin(victim.Name)
	victim.Kill()
	i.kills.end(victim.Name)
	wait(ctx, length)
	return i.startAgain(ctx, victim)
}

func (i *injector) startAgain(ctx context.Context, victim *fleet.Process) error {
	if err := victim.Start(); err != nil {
		return err
	}
	return i.fleet.AwaitReady(ctx, victim)
}

func freeze(ctx context.Context, victim *fleet.Process, length time.Duration) error {
	victim.Suspend()
	wait(ctx, length)
	victim.Resume()
	return nil
}

// cut blocks the links between a control machine and all others in both
// directions, without closing them.
func (i *injector) cut(ctx context.Context, victim *fleet.Process, length time.Duration) error {
	if err := i.setLinks(ctx, victim, true); err != nil {
		return err
	}
	wait(ctx, length*2)
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

// cutGateway blocks the links of a gateway to all control machines.
func (i *injector) cutGateway(ctx context.Context, victim *fleet.Process, length time.Duration) error {
	if err := i.setGatewayLinks(ctx, victim, true); err != nil {
		return err
	}
	wait(ctx, length*2)
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
		return errors.Wrapf(err, "set link of %s", from.Name)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fault.Newf(fault.Unavailable, "start daemons with --allow-fault-injection",
			"%s answered %d to a link change", from.Name, response.StatusCode)
	}
	return nil
}

// loseDisks kills control daemons, empties their disks, starts them again and
// waits until the product says that the loss is repaired.
func (i *injector) loseDisks(ctx context.Context, victims ...*fleet.Process) error {
	if err := emptyDisks(victims...); err != nil {
		return err
	}
	return i.awaitRepaired(ctx)
}

// loseDiskWhileCut empties a disk while another machine is cut off from all.
func (i *injector) loseDiskWhileCut(ctx context.Context, victim, cutOff *fleet.Process, length time.Duration) error {
	if err := i.setLinks(ctx, cutOff, true); err != nil {
		return err
	}
	if err := emptyDisks(victim); err != nil {
		return err
	}
	wait(ctx, length)
	// It joins without the machine that is cut off.
	if err := i.fleet.AwaitReady(ctx, victim); err != nil {
		return err
	}
	if err := i.setLinks(ctx, cutOff, false); err != nil {
		return err
	}
	return i.awaitRepaired(ctx)
}

// emptyDisks kills control daemons, empties their disks and starts them again.
func emptyDisks(victims ...*fleet.Process) error {
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

func (i *injector) stopAsPlanned(ctx context.Context, victim *fleet.Process) error {
	ctx, cancel := context.WithTimeout(ctx, planStopTimeout)
	defer cancel()
	if err := victim.Terminate(ctx); err != nil {
		return err
	}
	return i.startAgain(ctx, victim)
}

func (i *injector) missChanges(ctx context.Context, victim *fleet.Process) error {
	i.kills.begin(victim.Name)
	victim.Kill()
	i.kills.end(victim.Name)
	if err := i.changes(ctx, missedChanges); err != nil {
		return err
	}
	return i.startAgain(ctx, victim)
}
