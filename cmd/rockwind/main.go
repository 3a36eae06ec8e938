// Command rockwind runs the daemons of the serving system and the operator's
// commands.
package main

import (
	"os"

	"rockwind.example/rockwind/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
