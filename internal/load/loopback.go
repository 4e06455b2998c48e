package load

import (
	"os"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// loopbackCounts are the operating system's counts of the loopback device.
type loopbackCounts struct{ bytes, packets int64 }

// headerBytes is what each packet on the loopback device counts beside its
// payload: IPv4 20, TCP with timestamps 32. The device counts no Ethernet
// header.
const headerBytes = 52

func (c loopbackCounts) since(before loopbackCounts) loopbackCounts {
	return loopbackCounts{bytes: c.bytes - before.bytes, packets: c.packets - before.packets}
}

// payload returns the bytes that the connections carried. It holds the traffic
// of every process on the machine.
func (c loopbackCounts) payload() float64 { return float64(c.bytes - headerBytes*c.packets) }

func readLoopback() (c loopbackCounts, err error) {
	data, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return c, errors.Wrap(err, "read loopback counts")
	}
	for line := range strings.Lines(string(data)) {
		rest, ok := strings.CutPrefix(strings.TrimSpace(line), "lo:")
		if !ok {
			continue
		}
		fields := strings.Fields(rest)
		c.bytes, _ = strconv.ParseInt(fields[0], 10, 64)
		c.packets, _ = strconv.ParseInt(fields[1], 10, 64)
		return c, nil
	}
	return c, errors.New("there is no loopback device")
}
