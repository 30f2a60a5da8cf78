// Package process implements what the binaries have in common: flags, loading and
// validation of settings, signals and exit codes.
package process

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"kumquatyard/internal/settings"
)

// Version is the release version. It is set at link time.
var Version = "0.1.0-dev"

// Exit codes of Main. Invalid settings exit with settings.ExitInvalid.
const (
	ExitOK      = 0
	ExitFailure = 1
)

// Main parses the flags, loads the settings into s, calls run with a
// context that ends on SIGTERM or SIGINT and returns the exit code. SIGHUP has no effect. With
// --check-settings it returns after loading the settings.
func Main(name, description string, s any, run func(ctx context.Context) error) int {
	signals := HandleSignals()
	file, check := parse(name, description)
	if err := settings.Load(file, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return settings.ExitInvalid
	}
	if check {
		fmt.Println("settings are valid")
		return ExitOK
	}
	if err := run(signals.Stop); err != nil {
		logrus.WithField("process", name).WithError(err).Error("process stopped with an error")
		return ExitFailure
	}
	return ExitOK
}

// parse parses the command line and returns the path of the settings file and
// whether to only check it.
func parse(name, description string) (file string, check bool) {
	file = "/etc/kumquatyard/" + name + ".yaml"
	flaggy.SetName(name)
	flaggy.SetDescription(description)
	flaggy.SetVersion(Version)
	flaggy.String(&file, "c", "config", "settings file (YAML)")
	flaggy.Bool(&check, "", "check-settings", "check the settings file and exit")
	flaggy.Parse()
	return file, check
}
