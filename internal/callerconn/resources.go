package callerconn

import (
	"math"
	"runtime/debug"
	"syscall"
)

const (
	// ownDescriptors are kept for files, the store and other hosts. Of the others, a half
	// is for callers: each of their requests takes one connection more, to an endpoint.
	ownDescriptors = 256
	minConns       = 16
	// connCost is what an open connection takes by itself: buffers and stacks.
	connCost Bytes = 20 << 10
)

// Divide divides what callers may make a daemon hold between their connections, of which
// there may be maxConns, and their requests, which may hold limit.
func Divide(total Bytes, descriptors int) (limit Bytes, maxConns int) {
	limit = total / 2
	maxConns = min((descriptors-ownDescriptors)/2, int((total-limit)/connCost))
	return limit, max(minConns, maxConns)
}

// ProcessMemory returns the memory that this process may use, unless its settings say
// otherwise: that of the Go runtime's soft limit (GOMEMLIMIT), or else that of the machine.
func ProcessMemory() Bytes {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return Bytes(limit)
	}
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return defaultMemory
	}
	return Bytes(info.Totalram) * Bytes(info.Unit)
}

// ProcessDescriptors returns how many descriptors this process may open, unless its settings
// say otherwise.
func ProcessDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// What is assumed if the system does not tell.
const (
	defaultMemory      Bytes = 128 << 20
	defaultDescriptors       = 1024
)
