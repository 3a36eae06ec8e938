package fleet

import (
	"google.golang.org/protobuf/proto"
)

// ProcessOptions describes a process that belongs to no planned fleet.
type ProcessOptions struct {
	// Name is unique; Role and Zone are as in Process.
	Name, Role, Zone string
	// Address and InternalAddress are where it will serve, if they are known.
	Address, InternalAddress string
	// Folder is the process's own folder.
	Folder string
	// Program is the path of the program, Arguments its command line.
	Program   string
	Arguments []string
	// LogFile takes all that the process prints, over all its starts; without it the
	// end of the output is kept in memory.
	LogFile string
}

// NewProcess prepares a process; Start runs it.
func NewProcess(described ProcessOptions) *Process {
	return &Process{
		Name: described.Name, Role: described.Role, Zone: described.Zone,
		Address: described.Address, InternalAddress: described.InternalAddress,
		Folder: described.Folder, program: described.Program, arguments: described.Arguments,
		logFile: described.LogFile,
	}
}

// WriteSettings writes the settings file of a daemon into its folder and returns
// the file's path.
func WriteSettings(folder string, settings proto.Message) (string, error) {
	return writeSettings(folder, settings)
}

// Clone prepares a process like this one, with the same folder and without the
// output of this one.
func (p *Process) Clone() *Process {
	return &Process{
		Name: p.Name, Role: p.Role, Zone: p.Zone, Address: p.Address, InternalAddress: p.InternalAddress,
		Folder: p.Folder, program: p.program, arguments: p.arguments, logFile: p.logFile,
	}
}
