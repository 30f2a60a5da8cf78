package load

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

const (
	// ticksPerSecond is the unit of the times in /proc/PID/stat (proc(5)).
	ticksPerSecond = 100
	// Indexes of utime and stime in the fields after the command's name.
	userField   = 11
	systemField = 12
)

// cpuTime returns the processor time that a process has used, 0 for pid 0.
func cpuTime(pid int) (time.Duration, error) {
	if pid == 0 {
		return 0, nil
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	// The command's name may hold spaces; it ends with the last parenthesis.
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
	if len(fields) <= systemField {
		return 0, fmt.Errorf("processor time: %d fields in stat", len(fields))
	}
	ticks := 0
	for _, i := range []int{userField, systemField} {
		n, err := strconv.Atoi(string(fields[i]))
		if err != nil {
			return 0, fmt.Errorf("processor time: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}
