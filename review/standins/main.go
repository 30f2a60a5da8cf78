//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Verdict is the result of a case, which is also the exit status.
type Verdict int

// Results of a case.
const (
	Held Verdict = iota
	Broken
	CannotRun
)

func main() { os.Exit(int(run())) }

// run plays a case: standins CASE RECORD BINARY. TROUBLE=0 leaves out the disruption.
func run() Verdict {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD BINARY")
		return CannotRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	dir, err := os.MkdirTemp("", "review-*")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary, err := filepath.Abs(os.Args[3])
	if err != nil {
		return CannotRun
	}
	fleet, err := NewFleet(record, dir, binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	verdict, err := cases[os.Args[1]](fleet, trouble)
	fleet.Close()
	for _, p := range fleet.Panics() {
		record.Printf("log of %s", p)
	}
	if logs := os.Getenv("REVIEW_LOGS"); logs != "" {
		for n, e := range fleet.Entries {
			if text, err := os.ReadFile(e.logPath); err == nil {
				_ = os.WriteFile(filepath.Join(logs, fmt.Sprintf("log-%d.txt", n)), text, 0o600)
			}
		}
	}
	if err != nil {
		record.Printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return CannotRun
	}
	text := map[Verdict]string{Held: "the rule held", Broken: "THE RULE WAS BROKEN"}[verdict]
	record.Printf("trouble %v: %s", trouble, text)
	fmt.Printf("trouble %v: %s\n", trouble, text)
	return verdict
}
