package scale

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/hollow"
	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Names of the two programs.
const (
	daemonProgram = "rockwind"
	benchProgram  = "rockwind-bench"
)

// Roles of the processes.
const (
	roleControl  = "control"
	roleEngines  = "hollow-engines"
	roleGateways = "hollow-gateways"
	roleGateway  = "gateway"
	roleEngine   = "engine"
)

const (
	startTimeout = 60 * time.Second
	probePause   = 20 * time.Millisecond
	// answeringEngines is the number of engines that answer requests.
	answeringEngines = 4
	// realGateways is how many daemons run in processes of their own.
	realGateways = 6
	pageTimeout  = 20 * time.Second
)

// member is one process with the address of its report page, if it has one.
type member struct {
	*fleet.Process
	// zone is where all of its daemons or servers stand.
	zone int
	// daemons and servers are the numbers of those that run in the process.
	daemons, servers []int
	page             string
}

// cluster is the fleet of one run.
type cluster struct {
	size      Size
	folder    string
	programs  string
	client    *http.Client
	addresses fleet.Addresses

	controls []*rockwindpb.ControlMachine
	members  []*member
	// operator calls the control machines; applied is the last configuration that
	// was accepted.
	operator *controlclient.Client
	applied  *rockwindpb.Configuration
}

// startCluster starts all processes and founds the control machines.
func startCluster(ctx context.Context, size Size, folder, programs string) (*cluster, error) {
	c := &cluster{size: size, folder: folder, programs: programs, client: &http.Client{Timeout: pageTimeout}}
	for _, step := range []func(context.Context) error{c.startControls, c.startServers, c.startDaemons, c.applyFirst} {
		if err := step(ctx); err != nil {
			c.kill()
			return nil, err
		}
	}
	return c, nil
}

// kill ends all processes.
func (c *cluster) kill() {
	for _, each := range c.members {
		each.Kill()
	}
}

// of lists the running members with a role.
func (c *cluster) of(role string) []*member {
	var found []*member
	for _, each := range c.members {
		if each.Role == role && each.Running() {
			found = append(found, each)
		}
	}
	return found
}

func (c *cluster) bench(role, name string, zone int, arguments ...string) *member {
	return &member{zone: zone, Process: fleet.NewProcess(fleet.Standalone{
		Name: name, Role: role, Zone: zoneName(zone), Folder: filepath.Join(c.folder, name),
		Program: filepath.Join(c.programs, benchProgram), Arguments: arguments,
	})}
}

// startAll starts members at once and waits until each is up.
func (c *cluster) startAll(ctx context.Context, started []*member) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, each := range started {
		group.Go(func() error {
			if err := each.Start(); err != nil {
				return err
			}
			return c.await(ctx, each)
		})
	}
	return group.Wait()
}

// await waits for a member's report page, or, where it has none, for its
// internal address to answer.
func (c *cluster) await(ctx context.Context, each *member) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if c.up(ctx, each) {
			return nil
		}
		if !each.Running() {
			return fault.Newf(fault.Unavailable, "read its output", "%s ended at its start:\n%s", each.Name, each.Output())
		}
		select {
		case <-ctx.Done():
			return fault.Newf(fault.Unavailable, "read its output", "%s does not serve:\n%s", each.Name, each.Output())
		case <-time.After(probePause):
		}
	}
}

func (c *cluster) up(ctx context.Context, each *member) bool {
	if each.InternalAddress != "" {
		return c.get(ctx, "http://"+each.InternalAddress+"/healthz", nil) == nil
	}
	_, rest, printed := strings.Cut(each.Output(), hollow.ListeningPrefix)
	address, _, whole := strings.Cut(rest, "\n")
	if printed && whole {
		each.page = "http://" + address
	}
	return each.page != ""
}

func (c *cluster) startControls(ctx context.Context) error {
	for number := range c.size.Controls {
		address, err := c.addresses.Next()
		if err != nil {
			return err
		}
		c.controls = append(c.controls, &rockwindpb.ControlMachine{
			Machine: controlName(number), Address: address, Zone: zoneName(spreadZone(number)),
		})
	}
	var started []*member
	for number, machine := range c.controls {
		arguments := append([]string{
			"hollow", "control", "--machine", machine.GetMachine(), "--zone", machine.GetZone(),
			"--listen", machine.GetAddress(), "--folder", filepath.Join(c.folder, machine.GetMachine(), "data"),
		}, c.controlFlags()...)
		started = append(started, c.bench(roleControl, machine.GetMachine(), spreadZone(number), arguments...))
	}
	c.members = append(c.members, started...)
	if err := c.startAll(ctx, started); err != nil {
		return err
	}
	c.operator = controlclient.New(controlclient.Options{Control: c.controls})
	return replica.Found(ctx, c.client, c.controlAddresses(), c.size.Shards)
}

func (c *cluster) controlAddresses() []string {
	var addresses []string
	for _, machine := range c.controls {
		addresses = append(addresses, machine.GetAddress())
	}
	return addresses
}

func (c *cluster) controlFlags() []string {
	var flags []string
	for _, machine := range c.controls {
		flags = append(flags, "--control", hollow.ControlFlag(machine))
	}
	return flags
}

// startServers starts the hollow engines, a process for each zone, and the
// engines that answer.
func (c *cluster) startServers(ctx context.Context) error {
	var started []*member
	for zone := range zoneCount {
		if process := c.engines(zone); process != nil {
			started = append(started, process)
		}
	}
	for number := range answeringEngines {
		process, err := c.answering(number)
		if err != nil {
			return err
		}
		started = append(started, process)
	}
	c.members = append(c.members, started...)
	return c.startAll(ctx, started)
}

// engines prepares the process of the hollow engines of a zone, nil where there
// are none.
func (c *cluster) engines(zone int) *member {
	servers := inZone(zone, c.size.Servers)
	if len(servers) == 0 {
		return nil
	}
	arguments := []string{"hollow", "engines", "--count", fmt.Sprint(len(servers))}
	for _, server := range servers {
		arguments = append(arguments, "--loaded", c.modelOf(server)+"@"+modelVersion)
	}
	process := c.bench(roleEngines, fmt.Sprintf("engines-%02d", zone), zone, arguments...)
	process.servers = servers
	return process
}

// modelOf is the model that a hollow engine serves. Consecutive servers of a
// zone serve different ones.
func (c *cluster) modelOf(server int) string {
	return modelName((server / zoneCount) % c.size.Models)
}

func (c *cluster) answering(number int) (*member, error) {
	address, err := c.addresses.Next()
	if err != nil {
		return nil, err
	}
	name, zone := fmt.Sprintf("answering-%d", number), spreadZone(number)
	process := &member{zone: zone, Process: fleet.NewProcess(fleet.Standalone{
		Name: name, Role: roleEngine, Zone: zoneName(zone), Address: address, InternalAddress: address,
		Folder: filepath.Join(c.folder, name), Program: filepath.Join(c.programs, benchProgram),
		Arguments: []string{
			"engine", "--listen", address, "--name", name, "--zone", zoneName(zone),
			"--load", onlineModel + "@" + modelVersion, "--fast",
		},
	})}
	return process, nil
}

// startDaemons starts the gateways in processes of their own and the hollow
// ones, a process for each zone.
func (c *cluster) startDaemons(ctx context.Context) error {
	var started []*member
	for number := range min(realGateways, c.size.Daemons) {
		process, err := c.gateway(number)
		if err != nil {
			return err
		}
		started = append(started, process)
	}
	for zone := range zoneCount {
		if process := c.gateways(zone); process != nil {
			started = append(started, process)
		}
	}
	c.members = append(c.members, started...)
	return c.startAll(ctx, started)
}

func (c *cluster) gateway(number int) (*member, error) {
	address, err := c.addresses.Next()
	if err != nil {
		return nil, err
	}
	internal, err := c.addresses.Next()
	if err != nil {
		return nil, err
	}
	name, zone := daemonName(number), spreadZone(number)
	folder := filepath.Join(c.folder, name)
	file, err := fleet.WriteSettings(folder, &rockwindpb.GatewaySettings{
		Name: name, Zone: zoneName(zone), Listen: address, InternalListen: internal,
		DataFolder: filepath.Join(folder, "data"), Control: c.controls,
		ExchangeInterval: durationpb.New(2 * time.Second), BatchConcurrency: 256,
	})
	if err != nil {
		return nil, err
	}
	return &member{zone: zone, daemons: []int{number}, Process: fleet.NewProcess(fleet.Standalone{
		Name: name, Role: roleGateway, Zone: zoneName(zone), Address: address, InternalAddress: internal,
		Folder: folder, Program: filepath.Join(c.programs, daemonProgram),
		Arguments: []string{"gateway", "--settings", file},
	})}, nil
}

// gateways prepares the process of the hollow gateways of a zone, nil where
// there are none.
func (c *cluster) gateways(zone int) *member {
	var daemons []int
	for _, number := range inZone(zone, c.size.Daemons) {
		if number >= realGateways {
			daemons = append(daemons, number)
		}
	}
	if len(daemons) == 0 {
		return nil
	}
	arguments := append([]string{"hollow", "gateways", "--zone", zoneName(zone), "--folder", filepath.Join(c.folder, "hollow")}, c.controlFlags()...)
	for _, name := range names(daemons, daemonName) {
		arguments = append(arguments, "--names", name)
	}
	process := c.bench(roleGateways, fmt.Sprintf("gateways-%02d", zone), zone, arguments...)
	process.daemons = daemons
	return process
}

// backEnds lists the servers of all running processes.
func (c *cluster) backEnds(ctx context.Context) ([]backEnd, error) {
	var found []backEnd
	for _, each := range c.of(roleEngine) {
		found = append(found, backEnd{name: each.Name, address: each.Address, zone: each.Zone, model: onlineModel})
	}
	for _, each := range c.of(roleEngines) {
		var report hollow.EnginesReport
		if err := c.get(ctx, each.page+hollow.ReportPage, &report); err != nil {
			return nil, err
		}
		for position, server := range each.servers {
			found = append(found, backEnd{
				name: serverName(server), address: report.Addresses[position], zone: each.Zone, model: c.modelOf(server),
			})
		}
	}
	return found, nil
}

func (c *cluster) applyFirst(ctx context.Context) error {
	backEnds, err := c.backEnds(ctx)
	if err != nil {
		return err
	}
	return c.apply(ctx, firstConfiguration(c.size, backEnds))
}

// apply hands a configuration to the control machines, as the operator's command
// does, and returns when it is accepted.
func (c *cluster) apply(ctx context.Context, configuration *rockwindpb.Configuration) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	_, err := c.operator.Configuration().Apply(ctx, &rockwindpb.ApplyConfigurationRequest{
		Configuration: configuration, Operator: "scale",
	})
	if err == nil {
		c.applied = configuration
	}
	return err
}
