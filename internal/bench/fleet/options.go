package fleet

import (
	"google.golang.org/protobuf/proto"
)

// ProcessOptions describes a process that isn't started from a Plan.
type ProcessOptions struct {
	// Name is unique; Role and Zone are as in Process.
	Name, Role, Zone string
	// Address and InternalAddress are as in Process; they may be empty if not known yet.
	Address, InternalAddress string
	Folder                   string
	// Program is the path of the executable, Arguments its command line.
	Program   string
	Arguments []string
	// LogFile is appended to by each start. If it is empty, the end of the output is kept in
	// memory.
	LogFile string
}

// NewProcess returns a process that isn't started yet.
func NewProcess(options ProcessOptions) *Process {
	return &Process{
		Name: options.Name, Role: options.Role, Zone: options.Zone,
		Address: options.Address, InternalAddress: options.InternalAddress,
		Folder: options.Folder, program: options.Program, arguments: options.Arguments,
		logFile: options.LogFile,
	}
}

// WriteSettings writes the settings file of a daemon into its folder and returns its path.
func WriteSettings(folder string, settings proto.Message) (string, error) {
	return writeSettings(folder, settings)
}

// Clone returns a process with the same options that isn't started yet and has no output.
func (p *Process) Clone() *Process {
	return &Process{
		Name: p.Name, Role: p.Role, Zone: p.Zone, Address: p.Address, InternalAddress: p.InternalAddress,
		Folder: p.Folder, program: p.program, arguments: p.arguments, logFile: p.logFile,
	}
}
