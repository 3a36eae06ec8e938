// Command rockwind-site runs the processes of a site on the users' platform.
package main

import (
	"os"

	"rockwind.example/rockwind/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stderr))
}
