package scale

import (
	"context"
	"net/url"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/bench/hollow"
)

// get reads a page and decodes it, where there is something to decode into.
func (c *cluster) get(ctx context.Context, address string, into any) error {
	return hollow.ReadPage(ctx, c.client, address, into)
}

// daemonReports reads what all running hollow gateways say.
func (c *cluster) daemonReports(ctx context.Context) ([]hollow.GatewayReport, error) {
	members := c.of(roleGateways)
	parts := make([][]hollow.GatewayReport, len(members))
	var group errgroup.Group
	for index, each := range members {
		group.Go(func() error { return c.get(ctx, each.page+hollow.ReportPage, &parts[index]) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var all []hollow.GatewayReport
	for _, part := range parts {
		all = append(all, part...)
	}
	return all, nil
}

// controlReports reads what the running control machines say.
func (c *cluster) controlReports(ctx context.Context) ([]hollow.ControlReport, error) {
	members := c.of(roleControl)
	reports := make([]hollow.ControlReport, len(members))
	var group errgroup.Group
	for index, each := range members {
		group.Go(func() error { return c.get(ctx, each.page+hollow.ReportPage, &reports[index]) })
	}
	return reports, group.Wait()
}

// command calls a page of the process that runs a hollow gateway.
func (c *cluster) command(ctx context.Context, number int, page string) error {
	for _, each := range c.of(roleGateways) {
		for _, daemon := range each.daemons {
			if daemon == number {
				return c.get(ctx, each.page+page+"?name="+url.QueryEscape(daemonName(number)), nil)
			}
		}
	}
	return errors.Newf("no process runs %s", daemonName(number))
}
