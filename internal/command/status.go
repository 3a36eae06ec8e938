package command

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// statusCommand is 'rockwind status'.
type statusCommand struct{}

// Help implements kong.HelpProvider.
func (*statusCommand) Help() string {
	return `Asks every control machine given with --control. Gateways and back ends are shown by their last
reports to control; a gateway that stands still or is cut off shows an old time.`
}

// fleetState is the state of the fleet, merged from the responses of all control
// machines.
type fleetState struct {
	latest   uint64
	daemons  []*rockwindpb.DaemonStatus
	servers  []*rockwindpb.ServerDigest
	machines []machineState
}

// machineState is the response of one control machine.
type machineState struct {
	address  string
	identity *rockwindpb.IdentityResponse
	fleet    *rockwindpb.FleetStatusResponse
	err      error
}

// machineTimeout bounds the calls to one control machine, so that an unresponsive
// machine does not hide the others.
const machineTimeout = 3 * time.Second

// queryMachines queries all control machines concurrently.
func (s *session) queryMachines() ([]machineState, error) {
	peers, err := s.peers()
	if err != nil {
		return nil, err
	}
	states := make([]machineState, len(peers))
	var group errgroup.Group
	for i, each := range peers {
		group.Go(func() error {
			states[i] = s.queryMachine(each)
			return nil
		})
	}
	return states, group.Wait()
}

func (s *session) queryMachine(target peer) machineState {
	ctx, cancel := context.WithTimeout(s.context, min(machineTimeout, s.connection.Timeout))
	defer cancel()
	state := machineState{address: target.address}
	state.identity, state.err = target.replica.Identity(ctx, &rockwindpb.IdentityRequest{})
	if state.err != nil {
		return state
	}
	state.fleet, state.err = target.fleet.Status(ctx, &rockwindpb.FleetStatusRequest{})
	return state
}

// fleetState queries all control machines and merges their responses. It fails with
// fault.Unavailable if none responds.
func (s *session) fleetState() (*fleetState, error) {
	machines, err := s.queryMachines()
	if err != nil {
		return nil, err
	}
	merged := &fleetState{machines: machines}
	daemons := make(map[string]*rockwindpb.DaemonStatus)
	servers := make(map[string]*rockwindpb.ServerDigest)
	answered := false
	for _, machine := range machines {
		if machine.err != nil {
			err = machine.err
			continue
		}
		answered = true
		merged.latest = max(merged.latest, machine.fleet.GetLatestConfiguration())
		mergeDaemons(daemons, machine.fleet.GetDaemons())
		mergeServers(servers, machine.fleet.GetServers())
	}
	if !answered {
		return nil, fault.Newf(fault.Unavailable, "check the addresses given with --control and that the machines run", "no control machine answered: %v", fault.From(err).Message)
	}
	merged.daemons = sortedByName(daemons)
	merged.servers = sortedByName(servers)
	return merged, nil
}

// mergeDaemons keeps the status of each daemon with the latest contact.
func mergeDaemons(known map[string]*rockwindpb.DaemonStatus, received []*rockwindpb.DaemonStatus) {
	for _, daemon := range received {
		before := known[daemon.GetName()]
		if before == nil || daemon.GetLastHeardUnixMs() > before.GetLastHeardUnixMs() {
			known[daemon.GetName()] = daemon
		}
	}
}

// mergeServers keeps the most recent digest of each back end.
func mergeServers(known map[string]*rockwindpb.ServerDigest, received []*rockwindpb.ServerDigest) {
	for _, server := range received {
		before := known[server.GetName()]
		if before == nil || server.GetAgeMs() < before.GetAgeMs() {
			known[server.GetName()] = server
		}
	}
}

func sortedByName[T interface{ GetName() string }](byName map[string]T) []T {
	list := make([]T, 0, len(byName))
	for _, each := range byName {
		list = append(list, each)
	}
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return list
}

// statusJSON is the JSON output.
type statusJSON struct {
	LatestConfiguration uint64        `json:"latest_configuration"`
	ControlMachines     []machineJSON `json:"control_machines"`
	Gateways            []messageJSON `json:"gateways"`
	BackEnds            []messageJSON `json:"back_ends"`
}

type machineJSON struct {
	Address  string       `json:"address"`
	Error    string       `json:"error,omitempty"`
	Identity *messageJSON `json:"identity,omitempty"`
}

// Run prints the state of the fleet.
func (*statusCommand) Run(s *session) error {
	state, err := s.fleetState()
	if err != nil {
		return err
	}
	if s.printer.json {
		return s.printer.encode(state.json())
	}
	now := time.Now()
	fmt.Fprintf(s.printer.output, "configuration %d is the newest; in force at %d of %d gateways\n\n", state.latest, state.upToDate(), len(state.daemons))
	for _, listing := range []*table{machineTable(state.machines), daemonTable(state.daemons, now), serverTable(state.servers)} {
		if err := listing.write(s.printer.output); err != nil {
			return err
		}
		fmt.Fprintln(s.printer.output)
	}
	return nil
}

func (f *fleetState) json() statusJSON {
	result := statusJSON{
		LatestConfiguration: f.latest,
		ControlMachines:     machinesJSON(f.machines),
		Gateways:            messagesJSON(f.daemons),
		BackEnds:            messagesJSON(f.servers),
	}
	return result
}

func machinesJSON(machines []machineState) []machineJSON {
	list := make([]machineJSON, 0, len(machines))
	for _, machine := range machines {
		entry := machineJSON{Address: machine.address}
		if machine.err != nil {
			entry.Error = fault.From(machine.err).Error()
		}
		if machine.identity != nil {
			entry.Identity = &messageJSON{machine.identity}
		}
		list = append(list, entry)
	}
	return list
}

func (f *fleetState) upToDate() int {
	count := 0
	for _, daemon := range f.daemons {
		if daemon.GetConfigurationNumber() >= f.latest {
			count++
		}
	}
	return count
}

func machineTable(machines []machineState) *table {
	listing := &table{header: []string{"CONTROL MACHINE", "ADDRESS", "STATE", "CLUSTER", "LEADS", "CONFIGURATION"}}
	for _, machine := range machines {
		if machine.identity == nil {
			listing.add("-", machine.address, "no answer: "+fault.From(machine.err).Message, "-", "-", "-")
			continue
		}
		listing.add(machine.identity.GetMachine(), machine.address, "up", orDash(machine.identity.GetClusterId()),
			ledGroups(machine.identity), number(machine.fleet.GetLatestConfiguration()))
	}
	return listing
}

// ledGroups lists the groups that a machine leads. Group members are identified by
// their disk.
func ledGroups(identity *rockwindpb.IdentityResponse) string {
	var led []string
	for _, group := range identity.GetGroups() {
		if group.GetLeader() != 0 && group.GetLeader() == identity.GetDiskId() {
			led = append(led, number(group.GetGroup()))
		}
	}
	return orDash(strings.Join(led, ","))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func daemonTable(daemons []*rockwindpb.DaemonStatus, now time.Time) *table {
	listing := &table{header: []string{"GATEWAY", "ZONE", "ADDRESS", "CONFIGURATION", "DRAINING", "HEARD"}}
	for _, daemon := range daemons {
		listing.add(daemon.GetName(), daemon.GetZone(), daemon.GetAddress(), number(daemon.GetConfigurationNumber()),
			yesNo(daemon.GetDraining()), ageText(daemon.GetLastHeardUnixMs(), now))
	}
	return listing
}

func serverTable(servers []*rockwindpb.ServerDigest) *table {
	listing := &table{header: []string{"BACK END", "HEALTH", "ONLINE", "BATCH", "WAITING", "KV", "LEAVING", "AGE"}}
	for _, server := range servers {
		health := strings.ToLower(strings.TrimPrefix(server.GetHealth().String(), "HEALTH_STATE_"))
		const permille = 10
		listing.add(server.GetName(), health, number(server.GetRunningOnline()), number(server.GetRunningBatch()),
			number(server.GetWaiting()), fmt.Sprintf("%d%%", server.GetKvUsedPermille()/permille),
			yesNo(server.GetLeaving()), (time.Duration(server.GetAgeMs()) * time.Millisecond).String())
	}
	return listing
}
