// Command kumquatctl is the command-line tool of the operators of kumquat-agent and
// kumquat-gateway.
package main

import (
	"os"

	"kumquatyard/internal/ctl"
	"kumquatyard/platform"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr, ctl.Form{Name: "platform", Check: platform.CheckConfig}))
}
