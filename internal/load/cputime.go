package load

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

const (
	// ticksPerSecond is the clock tick rate of the times in /proc/PID/stat, see
	// proc(5).
	ticksPerSecond = 100
	// Indexes of utime and stime among the fields after the command name.
	userField   = 11
	systemField = 12
)

// cpuTime returns the CPU time that a process has used, or 0 for pid 0.
func cpuTime(pid int) (time.Duration, error) {
	if pid == 0 {
		return 0, nil
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read CPU time: %w", err)
	}
	// The command name may contain spaces; it ends at the last parenthesis.
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
	if len(fields) <= systemField {
		return 0, fmt.Errorf("CPU time of process %d: stat has %d fields after the command name, want more than %d", pid, len(fields), systemField)
	}
	ticks := 0
	for _, i := range []int{userField, systemField} {
		n, err := strconv.Atoi(string(fields[i]))
		if err != nil {
			return 0, fmt.Errorf("parse CPU time: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}
