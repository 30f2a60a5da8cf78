// Command slopes measures how the control plane's memory, CPU time and traffic
// grow with the fleet, and writes the tables that docs/CAPACITY.md quotes. It
// runs many agents in its own process, connected over real TLS sessions.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

// section is a part of the output.
type section struct {
	name, title string
	run         func(out io.Writer) error
}

var sections = []section{
	{"sessions", "Idle link sessions", sessionsSweep},
	{"calls", "Calls over one session, of a claim's size", callsSweep},
	{"nodes", "Agents of one zone, 190 servers", nodesSweep},
	{"servers", "Servers of one zone, 23 agents", serversSweep},
	{"zones", "Zones of as many regions, 4 agents and 8 servers each", zonesSweep},
	{"changes", "Configuration changes, 23 agents, 190 servers", changesSweep},
	{"views", "Gateway's view", viewsSweep},
	{"claims", "One owner of all claim shards", claimsSweep},
	{"duties", "Duties held under lease", dutiesSweep},
	{"events", "A zone of 23 agents and 190 servers while something happens to it", eventsSweep},
	{"list", "Leaving servers by the instance list", instanceListSweep},
	{"sizes", "Today's deployments, the letter's zone and its variants, and 138 agents", deploymentsSweep},
}

func main() {
	out, selected, commit := filepath.Join("docs", "slopes.txt"), "", "unknown"
	flaggy.SetName("slopes")
	flaggy.String(&out, "o", "out", "file to write")
	flaggy.String(&selected, "s", "sections", "comma-separated sections to run; all by default")
	flaggy.String(&commit, "r", "revision", "commit to name in the file")
	profile := ""
	flaggy.String(&profile, "p", "profile", "file for a CPU profile")
	flaggy.Parse()
	if profile != "" {
		stop, err := startProfile(profile)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		defer stop()
	}
	if err := writeSections(out, selected, commit); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// writeSections runs the sections and writes their output to a file and to
// standard output. selected is a comma-separated list of section names; if it is
// empty, all sections run.
func writeSections(path, selected, commit string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	writer := io.MultiWriter(file, os.Stdout)
	writeHeader(writer, commit)
	for _, s := range sections {
		if selected != "" && !strings.Contains(","+selected+",", ","+s.name+",") {
			continue
		}
		begin := time.Now()
		fmt.Fprintf(writer, "\n## %s (%s)\n\n", s.title, s.name)
		if err := s.run(writer); err != nil {
			return fmt.Errorf("section %s: %w", s.name, err)
		}
		fmt.Fprintf(writer, "took %v\n", time.Since(begin).Round(time.Second))
	}
	return nil
}

func writeHeader(out io.Writer, commit string) {
	fmt.Fprintf(out, "# Slopes of the control plane, by `make slopes`\n\n")
	fmt.Fprintf(out, "machine: %d cores, %s memory, %s %s/%s\n", runtime.NumCPU(), totalMemory(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
	fmt.Fprintf(out, "commit: %s\n", commit)
	fmt.Fprintf(out, "bytes are counted at the sockets: TLS records and yamux headers included, TCP and IP headers not\n")
}

// totalMemory returns the machine's memory as /proc/meminfo has it, or "" if the
// file cannot be read.
func totalMemory() string {
	data, _ := os.ReadFile("/proc/meminfo")
	line, _, _ := strings.Cut(string(data), "\n")
	return strings.TrimSpace(strings.TrimPrefix(line, "MemTotal:"))
}

func startProfile(path string) (stop func(), err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}
