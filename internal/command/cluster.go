package command

import (
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// clusterCommand is 'rockwind cluster'.
type clusterCommand struct {
	Init   clusterInit   `cmd:"" help:"Found a cluster of control machines whose disks are new."`
	Status clusterStatus `cmd:"" help:"Show the replicated groups as each control machine sees them."`
}

// clusterInit is 'rockwind cluster init'.
type clusterInit struct {
	Shards int `default:"4" help:"Number of groups that jobs and keys are spread over. It can't be changed later."`
}

// Help implements kong.HelpProvider.
func (*clusterInit) Help() string {
	return `All control machines named by --control become voters of every group. The command may be repeated
after a failure; it is refused by machines that belong to another cluster.`
}

// Run creates the cluster.
func (c *clusterInit) Run(s *session) error {
	machines, err := s.connection.machines()
	if err != nil {
		return err
	}
	client, err := s.connection.httpClient()
	if err != nil {
		return err
	}
	addresses := make([]string, 0, len(machines))
	for _, machine := range machines {
		addresses = append(addresses, s.connection.baseURL(machine.GetAddress()))
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	if err := replica.Found(ctx, client, addresses, c.Shards); err != nil {
		return err
	}
	return s.printer.line(&rockwindpb.FoundResponse{}, "founded a cluster of %d machines with %d job shards", len(addresses), c.Shards)
}
