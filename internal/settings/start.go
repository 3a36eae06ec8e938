package settings

import (
	"net"
	"os"
	"path/filepath"
	"syscall"

	"rockwind.example/rockwind/internal/fault"
)

// The data folder and its lock file.
const (
	folderMode = 0o755
	lockFile   = "lock"
	lockMode   = 0o640
)

// Listen listens on the address of a setting. It fails with fault.InvalidArgument,
// since a retry with the same settings does not help.
func Listen(setting, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Newf(fault.InvalidArgument, "stop the process that has the address, or set "+setting+" to an address of this machine",
			"the daemon can't listen: %v", err)
	}
	return listener, nil
}

// OpenDataFolder creates the data folder if it does not exist, and locks it against
// other daemons. The returned function unlocks it, as does the end of the process.
// It fails with fault.InvalidArgument.
func OpenDataFolder(folder string) (release func(), err error) {
	const remedy = "set data_folder to a folder that the daemon may write to"
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fault.Newf(fault.InvalidArgument, remedy, "the data folder can't be made: %v", err)
	}
	file, err := os.OpenFile(filepath.Join(folder, lockFile), os.O_CREATE|os.O_RDWR, lockMode)
	if err != nil {
		return nil, fault.Newf(fault.InvalidArgument, remedy, "the data folder can't be locked: %v", err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		return nil, fault.Newf(fault.InvalidArgument, "stop the daemon that uses it, or give each daemon a folder of its own",
			"the data folder %s is in use", folder)
	}
	return func() { file.Close() }, nil
}
