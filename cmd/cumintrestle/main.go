// Command cumintrestle runs an entry host and provides the operators' command
// line.
package main

import (
	"os"

	"github.com/cumintrestle/cumintrestle/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
