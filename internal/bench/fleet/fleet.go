// Package fleet starts and stops a complete rockwind deployment on loopback for
// demonstrations and experiments: control daemons, gateways and stand-ins for external
// systems, each in a process of its own.
package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"buf.build/go/protoyaml"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/bench/loopback"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// File, folder and program names.
const (
	dataFolderName    = "data"
	settingsFileName  = "settings.yaml"
	configurationFile = "configuration.yaml"
	serverProgram     = "rockwind"
	benchProgram      = "rockwind-bench"
)

const (
	startTimeout     = 30 * time.Second
	stopTimeout      = 20 * time.Second
	probeInterval    = 20 * time.Millisecond
	exchangeInterval = 500 * time.Millisecond
	controlTick      = 20 * time.Millisecond
	batchConcurrency = 256
)

// Fleet is a running deployment.
type Fleet struct {
	// Plan is the plan that the fleet was started from.
	Plan Plan
	// Folder holds all files of the fleet.
	Folder                                string
	Controls, Gateways, Engines, Services []*Process
	// Platform is nil if the plan has no platform stand-in.
	Platform *Process

	programs            string
	client              *http.Client
	configurationNumber uint64
}

// Start starts the processes of the plan, initializes the control group and applies the
// first configuration. The folder must not hold the files of an earlier fleet. Start looks
// for the executables in programs or, if it is empty, beside the running executable.
func Start(ctx context.Context, plan Plan, folder, programs string) (*Fleet, error) {
	if programs == "" {
		executable, err := os.Executable()
		if err != nil {
			return nil, errors.Wrap(err, "locate executables")
		}
		programs = filepath.Dir(executable)
	}
	f := &Fleet{Plan: plan, Folder: folder, programs: programs, client: &http.Client{Timeout: 2 * time.Second}}
	if err := f.start(ctx); err != nil {
		f.Kill()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	steps := []func(context.Context) error{
		f.startStandIns, f.startControls, f.initializeCluster, f.startGateways, f.applyFirstConfiguration, f.awaitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) zone(number int) string {
	return f.Plan.Zones[number%len(f.Plan.Zones)]
}

// newProcess prepares a process with an address and a folder of its own.
func (f *Fleet) newProcess(role string, number int, program string) (*Process, error) {
	address, err := loopback.Next()
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("%s-%d", role, number+1)
	if _, err := os.Stat(filepath.Join(f.Folder, name)); err == nil {
		return nil, fault.Newf(fault.Conflict, "choose an empty folder, or remove the files of the earlier fleet",
			"%s holds the files of an earlier fleet (%s)", f.Folder, name)
	}
	return &Process{
		Name: name, Role: role, Zone: f.zone(number), Address: address,
		Folder:   filepath.Join(f.Folder, name),
		program:  filepath.Join(f.programs, program),
		detached: f.Plan.Detached,
	}, nil
}

func (f *Fleet) startStandIns(ctx context.Context) error {
	for number := range f.Plan.Engines {
		if _, err := f.AddEngine(number); err != nil {
			return err
		}
	}
	for number := range f.Plan.Services {
		process, err := f.newProcess("service", number, benchProgram)
		if err != nil {
			return err
		}
		process.arguments = []string{
			"service", "--listen", process.Address, "--name", process.Name, "--zone", process.Zone,
			"--journal-file", process.JournalFile(),
		}
		if err := process.Start(); err != nil {
			return err
		}
		f.Services = append(f.Services, process)
	}
	if f.Plan.WithPlatform {
		if err := f.startPlatform(); err != nil {
			return err
		}
	}
	for _, process := range f.standIns() {
		if err := f.await(ctx, process, process.Address, "/healthz"); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startPlatform() error {
	process, err := f.newProcess("platform", 0, benchProgram)
	if err != nil {
		return err
	}
	process.arguments = []string{"platform", "--listen", process.Address}
	f.Platform = process
	return process.Start()
}

// AddEngine starts another engine stand-in. It gets no traffic until a configuration that
// includes it is applied.
func (f *Fleet) AddEngine(number int) (*Process, error) {
	process, err := f.newProcess("engine", number, benchProgram)
	if err != nil {
		return nil, err
	}
	process.arguments = append([]string{
		"engine", "--listen", process.Address, "--name", process.Name, "--zone", process.Zone,
		"--journal-file", process.JournalFile(), "--load", ModelName + "@" + ModelVersion,
	}, f.Plan.EngineArguments...)
	if err := process.Start(); err != nil {
		return nil, err
	}
	f.Engines = append(f.Engines, process)
	return process, nil
}

func (f *Fleet) startGateways(ctx context.Context) error {
	for number := range f.Plan.Gateways {
		process, err := f.newProcess("gateway", number, serverProgram)
		if err != nil {
			return err
		}
		if process.InternalAddress, err = loopback.Next(); err != nil {
			return err
		}
		if err := f.startGateway(process); err != nil {
			return err
		}
		f.Gateways = append(f.Gateways, process)
	}
	for _, process := range f.Gateways {
		if err := f.await(ctx, process, process.InternalAddress, "/healthz"); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startGateway(process *Process) error {
	settings := &rockwindpb.GatewaySettings{
		Name: process.Name, Zone: process.Zone, Listen: process.Address,
		InternalListen:   process.InternalAddress,
		DataFolder:       filepath.Join(process.Folder, dataFolderName),
		Control:          f.ControlMachines(),
		ExchangeInterval: durationpb.New(exchangeInterval),
		BatchConcurrency: batchConcurrency,
	}
	if f.Platform != nil {
		settings.PlatformUrl = "http://" + f.Platform.Address
	}
	file, err := writeSettings(process.Folder, settings)
	if err != nil {
		return err
	}
	process.arguments = append([]string{"gateway", "--settings", file}, f.Plan.GatewayArguments...)
	return process.Start()
}

// Configuration returns the next configuration for the current processes. The caller may
// change it before Apply.
func (f *Fleet) Configuration() *rockwindpb.Configuration {
	return f.Plan.configuration(f.configurationNumber+1, f.backends())
}

func (f *Fleet) backends() []*rockwindpb.BackEnd {
	var backends []*rockwindpb.BackEnd
	for _, process := range f.Engines {
		backends = append(backends, &rockwindpb.BackEnd{
			Name: process.Name, Kind: rockwindpb.BackEndKind_BACK_END_KIND_ENGINE,
			Address: process.Address, Zone: process.Zone,
			Serves: []string{ModelName}, Accelerators: planAccelerators,
		})
	}
	for _, process := range f.Services {
		backends = append(backends, &rockwindpb.BackEnd{
			Name: process.Name, Kind: rockwindpb.BackEndKind_BACK_END_KIND_SERVICE,
			Address: process.Address, Zone: process.Zone,
			Serves: []string{ServiceName}, Version: ServiceVersion,
		})
	}
	return backends
}

func (f *Fleet) applyFirstConfiguration(ctx context.Context) error {
	return f.Apply(ctx, f.Configuration())
}

// ConfigurationNumber returns the number of the configuration applied last.
func (f *Fleet) ConfigurationNumber() uint64 { return f.configurationNumber }

// Apply applies a configuration with the `rockwind apply` command.
func (f *Fleet) Apply(ctx context.Context, configuration *rockwindpb.Configuration) error {
	file := filepath.Join(f.Folder, configurationFile)
	if err := writeYAML(file, configuration); err != nil {
		return err
	}
	if err := f.RunCommand(ctx, "apply", "-f", file); err != nil {
		return err
	}
	f.configurationNumber = configuration.GetNumber()
	return nil
}

func (f *Fleet) awaitReady(ctx context.Context) error {
	for _, process := range f.Gateways {
		if err := f.await(ctx, process, process.InternalAddress, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until the readiness check of a process succeeds.
func (f *Fleet) AwaitReady(ctx context.Context, process *Process) error {
	address := process.InternalAddress
	if address == "" {
		address = process.Address
	}
	return f.await(ctx, process, address, "/readyz")
}

// await polls a health check until it returns 200 or the process exits.
func (f *Fleet) await(ctx context.Context, process *Process, address, page string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if f.probe(ctx, address, page) {
			return nil
		}
		if !process.Running() {
			return fault.Newf(fault.Unavailable, "read its output", "%s exited during startup:\n%s", process.Name, process.Output())
		}
		select {
		case <-ctx.Done():
			return fault.Newf(fault.Unavailable, "read its output",
				"%s did not answer %s in time:\n%s", process.Name, page, process.Output())
		case <-time.After(probeInterval):
		}
	}
}

func (f *Fleet) probe(ctx context.Context, address, page string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+page, nil)
	if err != nil {
		return false
	}
	response, err := f.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *Fleet) standIns() []*Process {
	processes := append([]*Process(nil), f.Engines...)
	processes = append(processes, f.Services...)
	if f.Platform != nil {
		processes = append(processes, f.Platform)
	}
	return processes
}

// Processes lists all processes of the fleet.
func (f *Fleet) Processes() []*Process {
	processes := append([]*Process(nil), f.Gateways...)
	processes = append(processes, f.Controls...)
	return append(processes, f.standIns()...)
}

// Stop stops the fleet gracefully: gateways first, then control daemons and stand-ins.
func (f *Fleet) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	var failed error
	for _, process := range f.Processes() {
		if err := process.Terminate(ctx); err != nil {
			failed = errors.CombineErrors(failed, err)
		}
	}
	f.Kill()
	return failed
}

// Kill kills all processes.
func (f *Fleet) Kill() {
	for _, process := range f.Processes() {
		process.Resume()
		process.Kill()
	}
}

func writeSettings(folder string, settings proto.Message) (string, error) {
	file := filepath.Join(folder, settingsFileName)
	return file, writeYAML(file, settings)
}

func writeYAML(file string, value proto.Message) error {
	encoded, err := protoyaml.MarshalOptions{UseProtoNames: true}.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode %s", file)
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return errors.Wrap(err, "create folder")
	}
	return os.WriteFile(file, encoded, 0o644)
}

func joinAddresses(addresses []string) string { return strings.Join(addresses, ",") }
