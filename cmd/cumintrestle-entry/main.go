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
	checkConfig := flaggy.NewSubcommand("check-config")
	checkConfig.Description = "check a configuration before it is sent"
	var config platform.ConfigCheck
	var asJSON bool
	checkConfig.AddPositionalValue(&config.Path, "FILE", 1, true, "configuration to check")
	checkConfig.String(&config.InForcePath, "i", "in-force", "configuration in force, to compare with")
	checkConfig.Bool(&asJSON, "j", "json", "print the findings as JSON")
	flaggy.AttachSubcommand(serve, 1)
	flaggy.AttachSubcommand(check, 1)
	flaggy.AttachSubcommand(checkConfig, 1)
	flaggy.Parse()

	var err error
	switch {
	case check.Used:
		_, err = platform.LoadSettings(path)
	case checkConfig.Used:
		config.SettingsPath = path
		os.Exit(printReport(config.Run(), asJSON))
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

// printReport prints the findings of a check and returns the exit code.
func printReport(r platform.ConfigReport, asJSON bool) int {
	write := r.WriteText
	if asJSON {
		write = r.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return r.ExitCode()
}
