package logline

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// digestInterval is how long items wait for others before a line is written.
	digestInterval = 200 * time.Millisecond
	// maxDigestItems bounds the items of a line, maxItemSize their size in bytes.
	maxDigestItems = 200
	maxItemSize    = 80
	// digestItems is the name of the attribute with the items.
	digestItems = "requests"
)

// Digest logs the ids of many requests with few lines: all ids of a group that come within
// digestInterval share one. More about a request may follow its id after a slash. It is safe
// for concurrent use.
type Digest struct {
	clock  clockwork.Clock
	logger *slog.Logger
	// message is that of the lines, group the name of the attribute with the group.
	message, group string

	mu sync.Mutex
	// items holds the items by group, n is their number.
	items map[string][]string
	n     int
}

// NewDigest returns an empty digest.
func NewDigest(clock clockwork.Clock, logger *slog.Logger, message, group string) *Digest {
	return &Digest{clock: clock, logger: logger, message: message, group: group, items: map[string][]string{}}
}

// Add adds an item to a group. A longer one than maxItemSize is cut.
func (d *Digest) Add(group, item string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A part of a string keeps all of it in memory.
	d.items[group] = append(d.items[group], strings.Clone(item[:min(len(item), maxItemSize)]))
	d.n++
	switch d.n {
	case 1:
		d.clock.AfterFunc(digestInterval, d.Flush)
	case maxDigestItems:
		d.write()
	}
}

// Flush writes the items that wait.
func (d *Digest) Flush() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.write()
}

func (d *Digest) write() {
	for _, group := range slices.Sorted(maps.Keys(d.items)) {
		d.logger.Info(d.message, d.group, group, digestItems, d.items[group])
	}
	clear(d.items)
	d.n = 0
}
