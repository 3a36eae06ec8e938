package fleet

import (
	"context"
	"fmt"
	"path/filepath"

	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/rockwindpb"
)

func (f *Fleet) startControls(ctx context.Context) error {
	for number := range f.Plan.Controls {
		process, err := f.newProcess("control", number, serverProgram)
		if err != nil {
			return err
		}
		process.InternalAddress = process.Address
		f.Controls = append(f.Controls, process)
	}
	for _, process := range f.Controls {
		if err := f.startControl(process); err != nil {
			return err
		}
	}
	for _, process := range f.Controls {
		if err := f.await(ctx, process, process.Address, "/healthz"); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startControl(process *Process) error {
	settings := &rockwindpb.ControlSettings{
		Machine: process.Name, Zone: process.Zone, Listen: process.Address,
		DataFolder: filepath.Join(process.Folder, dataFolderName),
		Control:    f.ControlMachines(),
		Tick:       durationpb.New(controlTick),
	}
	file, err := writeSettings(process.Folder, settings)
	if err != nil {
		return err
	}
	process.arguments = append([]string{"control", "--settings", file}, f.Plan.ControlArguments...)
	return process.Start()
}

// ControlMachines lists the control daemons in the form that settings use.
func (f *Fleet) ControlMachines() []*rockwindpb.ControlMachine {
	var machines []*rockwindpb.ControlMachine
	for _, process := range f.Controls {
		machines = append(machines, &rockwindpb.ControlMachine{
			Machine: process.Name, Address: process.Address, Zone: process.Zone,
		})
	}
	return machines
}

// ControlAddresses lists the addresses of the control daemons.
func (f *Fleet) ControlAddresses() []string {
	var addresses []string
	for _, process := range f.Controls {
		addresses = append(addresses, process.Address)
	}
	return addresses
}

func (f *Fleet) initializeCluster(ctx context.Context) error {
	return f.RunCommand(ctx, "cluster", "init", "--shards", fmt.Sprint(f.Plan.Shards))
}
