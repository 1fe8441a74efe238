package measurer

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is the kernel's unit of processor time in /proc (USER_HZ is 100).
	clockTick = 10 * time.Millisecond
	// Indices of the fields utime and stime of /proc/PID/stat, counted after the
	// parenthesized program name, which may itself contain spaces.
	userTimeIndex   = 11
	systemTimeIndex = 12
)

// usage is a process's cumulative processor time and current resident memory.
type usage struct {
	cpuTime       time.Duration
	residentBytes int64
}

// readUsage reads the usage of a process from /proc.
func readUsage(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, fmt.Errorf("read the usage of the process: %w", err)
	}
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName)
	user, err := strconv.ParseInt(fields[userTimeIndex], 10, 64)
	if err != nil {
		return usage{}, err
	}
	system, err := strconv.ParseInt(fields[systemTimeIndex], 10, 64)
	if err != nil {
		return usage{}, err
	}
	residentBytes, err := readResidentBytes(pid)
	return usage{
		cpuTime:       time.Duration(user+system) * clockTick,
		residentBytes: residentBytes,
	}, err
}

func readResidentBytes(pid int) (int64, error) {
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
	return 0, fmt.Errorf("/proc/%d/status has no VmRSS field", pid)
}
