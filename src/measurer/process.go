package measurer

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is the kernel's unit of processor time in /proc.
	clockTick = 10 * time.Millisecond
	// Fields of /proc/PID/stat behind the program's name.
	userField   = 11
	systemField = 12
)

// usage is what a process has used so far.
type usage struct {
	processor time.Duration
	// resident is in bytes.
	resident int64
}

// read returns the usage of a process.
func read(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, fmt.Errorf("read the process's usage: %w", err)
	}
	_, behind, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(behind)
	user, err := strconv.ParseInt(fields[userField], 10, 64)
	if err != nil {
		return usage{}, err
	}
	system, err := strconv.ParseInt(fields[systemField], 10, 64)
	if err != nil {
		return usage{}, err
	}
	resident, err := residentBytes(pid)
	return usage{
		processor: time.Duration(user+system) * clockTick,
		resident:  resident,
	}, err
}

func residentBytes(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		value, found := strings.CutPrefix(line, "VmRSS:")
		if !found {
			continue
		}
		kibibytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
		return kibibytes << 10, err
	}
	return 0, fmt.Errorf("process %d has no resident memory", pid)
}
