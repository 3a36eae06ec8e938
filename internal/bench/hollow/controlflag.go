package hollow

import (
	"net"
	"strings"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// ControlFlag formats a control machine as the commands of this package parse it.
func ControlFlag(machine *rockwindpb.ControlMachine) string {
	return machine.GetMachine() + "=" + machine.GetAddress() + "@" + machine.GetZone()
}

func parseControl(texts []string) ([]*rockwindpb.ControlMachine, error) {
	var machines []*rockwindpb.ControlMachine
	for _, text := range texts {
		name, rest, named := strings.Cut(text, "=")
		address, zone, zoned := strings.Cut(rest, "@")
		if _, _, err := net.SplitHostPort(address); err != nil || !named || !zoned {
			return nil, fault.Newf(fault.InvalidArgument, "write machine=ip:port@zone", "%q is not a control machine", text)
		}
		machines = append(machines, &rockwindpb.ControlMachine{Machine: name, Address: address, Zone: zone})
	}
	return machines, nil
}
