package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// earlierBuilds are the commits whose builds run beside the current one during an upgrade, and
// take over from it again when the upgrade is taken back.
var earlierBuilds = []string{mixingBuild, "6b93645"}

// mixingBuild is the last one that lets a stream go on at any version of the servers' software.
const mixingBuild = "25b866d"

// mixingBinary returns the binary of a build if it is mixingBuild, else "".
func mixingBinary(t *testing.T, commit string) string {
	t.Helper()
	if commit != mixingBuild {
		return ""
	}
	return buildOf(t, commit)
}

// builtBinaries holds the binaries of earlier builds by commit.
var builtBinaries = make(map[string]string)

// buildOf returns the binary of kumquat-entry at a commit, built from the repository's history.
func buildOf(t *testing.T, commit string) string {
	t.Helper()
	if path := builtBinaries[commit]; path != "" {
		return path
	}
	if err := exec.Command("git", "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
		t.Skipf("the history has no commit %s to build: %v", commit, err)
	}
	root := command(t, ".", "git", "rev-parse", "--show-toplevel")
	dir := filepath.Join(filepath.Dir(binary), commit)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	archive := dir + ".tar"
	command(t, root, "git", "archive", "--output", archive, commit)
	command(t, dir, "tar", "-xf", archive)
	path := filepath.Join(dir, "kumquat-entry")
	command(t, dir, "go", "build", "-o", path, "./cmd/kumquat-entry")
	builtBinaries[commit] = path
	return path
}

// command runs a command and returns its output without white space around it.
func command(t *testing.T, dir, name string, args ...string) string {
	t.Helper()
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%s %s: %v\n%s", name, strings.Join(args, " "), err, out)
	}
	return strings.TrimSpace(string(out))
}

// replaceBuilds restarts the instances one after the other with another build.
func (c *chaos) replaceBuilds(binary string) {
	for _, i := range c.fleet.instances {
		i.changing.Lock()
		c.logf("%s changes to the build %s", i.name, binary)
		c.stop(i)
		i.setBuild(binary)
		c.start(i)
		i.changing.Unlock()
		time.Sleep(c.randomDuration(600 * time.Millisecond))
	}
}

// An upgrade from an earlier build, one instance after the other, and back, under requests, changes
// of the configuration and faults: all promises hold, whatever mixture of builds runs, and each
// build goes on with what the other one has stored. With -soak.seed it takes its time and ends with
// the current build.
func TestBuildsSideBySide(t *testing.T) {
	for n, commit := range earlierBuilds {
		t.Run(commit, func(t *testing.T) {
			o := Options{
				Seed: uint64(100 + n), Duration: time.Second, Instances: 4, Callers: 12, ExtraRoutes: 300,
				Binary: buildOf(t, commit), CurrentBinary: binary, MixingBinary: mixingBinary(t, commit),
			}
			course := []string{binary, o.Binary}
			if *seedFlag != 0 {
				o.Seed, o.Instances, o.Callers = *seedFlag, *instancesFlag, *callersFlag
				course = append(course, binary)
			}
			o.Course = func(c *chaos) {
				for _, build := range course {
					c.replaceBuilds(build)
				}
			}
			for range *seedsFlag {
				o.Unfenced = o.Seed%2 == 1
				Run(t, o)
				o.Seed++
			}
		})
	}
}

// Instances of several builds share a server's limit, and tell each other of a request that ends
// servers.
func TestBuildsShareLimitsAndEvidence(t *testing.T) {
	mixed := builds{binaries: []string{binary}, mixing: mixingBinary(t, mixingBuild)}
	for _, commit := range earlierBuilds {
		mixed.binaries = append(mixed.binaries, buildOf(t, commit))
	}
	t.Run("a limit", func(t *testing.T) { testLimitIsShared(t, mixed) })
	t.Run("a request that ends servers", func(t *testing.T) { testRequestThatEndsServers(t, mixed) })
}
