package load

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// bytesSize is a size in bytes.
type bytesSize int64

func (b bytesSize) megabytes() float64 { return float64(b) / 1e6 }

// processMemory returns the resident memory of a process, from /proc.
func processMemory(pid int) (size bytesSize, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	for line := range strings.Lines(string(data)) {
		rest, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "read memory")
		}
		return bytesSize(kilobytes << 10), nil
	}
	return 0, errors.Errorf("process %d has no memory", pid)
}

const (
	// clockTick is the unit of times in /proc on Linux.
	clockTick = 10 * time.Millisecond
	// userTimeField and systemTimeField count after the command's name.
	userTimeField   = 11
	systemTimeField = 12
)

// processCPU returns the CPU time of a process, or zero if there is none.
func processCPU(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemTimeField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userTimeField])
	system, _ := strconv.Atoi(fields[systemTimeField])
	return time.Duration(user+system) * clockTick
}
