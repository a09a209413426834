// Command cumintrestle-entry runs an entry host on the users' platform.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/cumintrestle/cumintrestle/platform"
)

// settingsVariable is the environment variable with the default path of the
// settings file.
const settingsVariable = "CUMINTRESTLE_CONFIG"

func main() {
	path := os.Getenv(settingsVariable)
	flaggy.SetName("cumintrestle-entry")
	flaggy.SetDescription("An entry host of cumintrestle on the users' platform.")
	flaggy.String(&path, "s", "settings", "settings file; default: "+settingsVariable)
	serve := flaggy.NewSubcommand("serve")
	serve.Description = "serve callers until SIGTERM, then drain"
	check := flaggy.NewSubcommand("check")
	check.Description = "check the settings file and end"
	flaggy.AttachSubcommand(serve, 1)
	flaggy.AttachSubcommand(check, 1)
	flaggy.Parse()

	var err error
	switch {
	case check.Used:
		_, err = platform.LoadSettings(path)
	case serve.Used:
		err = (&platform.Host{SettingsPath: path}).Run()
	default:
		flaggy.ShowHelpAndExit("want a command")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
