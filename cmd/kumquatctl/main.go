// Command kumquatctl is the operators' command-line tool.
package main

import (
	"os"

	"kumquatyard/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
