package responsetime

import (
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

const (
	// keptDurations is the number of the latest responses of a kind that are kept.
	keptDurations = 64
	// maxKinds bounds the kinds of requests that are kept.
	maxKinds = 1024
)

// Durations holds how long the latest responses took, by class and by the power of two of
// the tokens that were asked for. The zero value is empty. It is safe for concurrent use.
type Durations struct {
	mu    sync.Mutex
	kinds map[kind]*latest
}

type kind struct {
	class table.ClassName
	// tokenBits is the bit length of the number of tokens.
	tokenBits int
}

// latest is a ring of durations.
type latest struct {
	took []time.Duration
	next int
}

// Observe records how long a complete response took.
func (d *Durations) Observe(class table.ClassName, tokens int, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := kind{class: class, tokenBits: bits.Len(uint(max(0, tokens)))}
	l := d.kinds[k]
	if l == nil {
		if d.kinds == nil || len(d.kinds) >= maxKinds {
			d.kinds = map[kind]*latest{}
		}
		l = &latest{}
		d.kinds[k] = l
	}
	if len(l.took) < keptDurations {
		l.took = append(l.took, took)
		return
	}
	l.took[l.next] = took
	l.next = (l.next + 1) % keptDurations
}

// Quantile returns the time within which a share of such responses was complete. It reports
// false while too few are known.
func (d *Durations) Quantile(class table.ClassName, tokens int, share float64) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.kinds[kind{class: class, tokenBits: bits.Len(uint(max(0, tokens)))}]
	if l == nil || len(l.took) < minSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(l.took))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)], true
}
