package settings

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Files in a daemon's data folder that name the addresses it listens on, for
// tools and for tests that leave the choice of the port to the system.
const (
	// AddressFile names the address for callers of a gateway, or of a control
	// machine's services.
	AddressFile = "address"
	// InternalAddressFile names a gateway's address for operators.
	InternalAddressFile = "internal_address"
)

// addressFileMode lets the daemon's user write the file and the group read it.
const addressFileMode = 0o640

// WriteAddress puts a bound address into a file of the data folder in one step,
// so that a reader sees the old or the new one whole.
func WriteAddress(dataFolder, name, address string) error {
	path := filepath.Join(dataFolder, name)
	temporary := path + ".new"
	if err := os.WriteFile(temporary, []byte(address), addressFileMode); err != nil {
		return errors.Wrap(err, "write the bound address")
	}
	return errors.Wrap(os.Rename(temporary, path), "write the bound address")
}
