//go:build review

// Command review-rig plays the cases of the second review. It starts kumquat-entry and stand-ins of
// servers as separate processes on loopback addresses, and is itself the store, the API for duties,
// the clients and the load balancer.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var cases = map[string]func(*rig) (broken []string, err error){}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) >= 1 && args[0] == "server" {
		return runServer(args[1:])
	}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE FOLDER, with TROUBLE=0 for the run without the disruption")
		return exitFailed
	}
	r, err := newRig(filepath.Join(args[1], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	defer r.close()
	broken, err := cases[args[0]](r)
	if err != nil {
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	for _, b := range broken {
		r.note("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.note("HELD")
	fmt.Println("HELD")
	return exitHeld
}
