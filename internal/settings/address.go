package settings

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Files in a daemon's data folder that contain the addresses it listens on, for
// tools, and for tests that listen on port 0.
const (
	// AddressFile contains the address of a gateway for callers, or of a control
	// machine's services.
	AddressFile = "address"
	// InternalAddressFile contains a gateway's internal address, for operators.
	InternalAddressFile = "internal_address"
)

// addressFileMode lets the daemon's user write the file and the group read it.
const addressFileMode = 0o640

// WriteAddress writes a bound address to a file in the data folder. It replaces the
// file atomically, so that readers never see a part of the address.
func WriteAddress(dataFolder, name, address string) error {
	path := filepath.Join(dataFolder, name)
	temporary := path + ".new"
	if err := os.WriteFile(temporary, []byte(address), addressFileMode); err != nil {
		return errors.Wrap(err, "write the bound address")
	}
	return errors.Wrap(os.Rename(temporary, path), "write the bound address")
}
