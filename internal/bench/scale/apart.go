package scale

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/hollow"
)

// apartTime is how long a region is cut off from the others.
const apartTime = 12 * time.Second

// Apart is what happened while one region was cut off from the others: the links
// between control machines, from hollow gateways to control machines, and from
// hollow gateways to back ends. The few real gateways keep their links.
type Apart struct {
	Seconds float64 `json:"seconds"`
	// Outside is a change that was applied outside of the region meanwhile.
	Outside Change `json:"outside"`
	// Inside counts the hollow daemons in the region, Moved those that took the
	// change although they were cut off.
	Inside int `json:"inside"`
	Moved  int `json:"moved"`
	// Online is the load through one gateway in the region.
	Online Online `json:"online"`
	// Healed is the time from the end of the cut until the change was in force on
	// every daemon.
	Healed Change `json:"healed"`
}

// cutRegion cuts a region off, applies a change, and mends the links again.
func (c *cluster) cutRegion(ctx context.Context, region int, track *tracker, result *Result) error {
	zones := zonesOf(region)
	found := &Apart{}
	result.Apart = found
	inner, err := c.innerGateway(zones)
	if err != nil {
		return err
	}
	if err := c.block(ctx, zones, c.linksOf); err != nil {
		return err
	}
	begun := time.Now()
	load := c.startOnlineThrough(ctx, []*member{inner})
	defer load.stop()
	track.cut = zones
	found.Outside, err = track.change(ctx, "cut of a region, outside of it", next(c.applied))
	if err != nil {
		return err
	}
	result.Changes = append(result.Changes, found.Outside)
	if err := pause(ctx, time.Until(begun.Add(apartTime))); err != nil {
		return err
	}
	if found.Inside, found.Moved, err = c.countMoved(ctx, zones, found.Outside.Number); err != nil {
		return err
	}
	found.Online = load.stop()
	track.cut = nil
	if err := c.block(ctx, zones, func(*member, []int) []string { return nil }); err != nil {
		return err
	}
	mended := time.Now()
	found.Seconds = mended.Sub(begun).Seconds()
	found.Healed, err = track.await(ctx, mended, inForceLimit, Change{During: "end of the cut"})
	result.Changes = append(result.Changes, found.Healed)
	return err
}

// block tells every process with counted connections which addresses it cannot
// reach.
func (c *cluster) block(ctx context.Context, zones []int, links func(*member, []int) []string) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, each := range append(c.of(roleControl), c.of(roleGateways)...) {
		group.Go(func() error {
			return c.get(ctx, each.page+hollow.BlockPage+"?"+hollow.BlockQuery(links(each, zones)), nil)
		})
	}
	return group.Wait()
}

// linksOf lists the addresses of control machines and answering engines on the
// other side of a cut around zones.
func (c *cluster) linksOf(from *member, zones []int) []string {
	inside := slices.Contains(zones, from.zone)
	var addresses []string
	for number, machine := range c.controls {
		if slices.Contains(zones, spreadZone(number)) != inside {
			addresses = append(addresses, machine.GetAddress())
		}
	}
	for _, each := range c.of(roleEngine) {
		if slices.Contains(zones, each.zone) != inside {
			addresses = append(addresses, each.Address)
		}
	}
	return addresses
}

// innerGateway is a hollow gateway of the zone of the region in which an engine
// answers, as a member that requests can be sent through.
func (c *cluster) innerGateway(zones []int) (*member, error) {
	for _, each := range c.of(roleGateways) {
		if each.zone != zones[0] {
			continue
		}
		name := daemonName(each.daemons[0])
		address, err := os.ReadFile(filepath.Join(c.folder, "hollow", name, "address"))
		if err != nil {
			return nil, errors.Wrapf(err, "find the address of %s", name)
		}
		return &member{zone: each.zone, Process: fleet.NewProcess(fleet.Standalone{
			Name: name, Address: strings.TrimSpace(string(address)),
		})}, nil
	}
	return nil, errors.Newf("no hollow gateway stands in %s", zoneName(zones[0]))
}

// countMoved counts the hollow daemons in zones, and those of them that have the
// number in force.
func (c *cluster) countMoved(ctx context.Context, zones []int, number uint64) (inside, moved int, err error) {
	reports, err := c.daemonReports(ctx)
	for _, report := range reports {
		if !inZones(report.Zone, zones) {
			continue
		}
		inside++
		if report.Number >= number {
			moved++
		}
	}
	return inside, moved, err
}

// inZones tells whether the name of a zone is one of the given zones.
func inZones(name string, zones []int) bool {
	return slices.ContainsFunc(zones, func(zone int) bool { return zoneName(zone) == name })
}
