package logline

import (
	"bytes"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// Whoever reads the log stops reading: the pipe fills and writes to it block.
// The daemon must go on, and count what is lost.
func TestBlockedReaderHarmsNobody(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	defer func() { _ = w.Close() }()
	out := NewWriter(w)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	const lines = 5000
	for range lines {
		if _, err := out.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	// The pipe takes 64 KB, the queue its lines; one is being written.
	if out.Dropped() < lines-queueLines-100 {
		t.Errorf("%d of %d lines were dropped", out.Dropped(), lines)
	}
	out.Close(10 * time.Millisecond)
}

// What is queued is written at the end.
func TestCloseWritesWhatIsQueued(t *testing.T) {
	var b bytes.Buffer
	out := NewWriter(&b)
	for range 100 {
		_, _ = out.Write([]byte("line\n"))
	}
	out.Close(time.Minute)
	if n := strings.Count(b.String(), "line"); n != 100 {
		t.Errorf("%d lines, want 100", n)
	}
}

// A storm of one kind of line must not hide the others, and the log says how
// many were left out.
func TestLimiterKeepsOtherKinds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var b bytes.Buffer
	logger := slog.New(NewLimiter(clock, slog.NewTextHandler(&b, nil))).With("host", "a")
	for range 100 {
		logger.Info("refused")
	}
	logger.Info("leaving")
	clock.Advance(time.Second)
	logger.Info("refused")
	text := b.String()
	if n := strings.Count(text, "msg=refused"); n != linesOfAKind+1 {
		t.Errorf("%d lines of the storm, want %d", n, linesOfAKind+1)
	}
	if !strings.Contains(text, "msg=leaving") || !strings.Contains(text, "leftOutBefore=60") {
		t.Errorf("the log has %s", text)
	}
}

// TestSampler: a few requests a second are picked, and the others counted.
func TestSampler(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := NewSampler(clock)
	picked := 0
	for range 3 {
		for range 50 {
			if s.Pick() {
				picked++
			}
		}
		clock.Advance(time.Second)
	}
	if picked != 3*routineRequests || s.LeftOut() != 150-3*routineRequests {
		t.Errorf("%d picked, %d left out", picked, s.LeftOut())
	}
}

// BenchmarkLine is the cost of one line: 0.7 µs on the machine of
// docs/MEASUREMENTS.md.
func BenchmarkLine(b *testing.B) {
	out := NewWriter(io.Discard)
	logger := slog.New(NewLimiter(clockwork.NewRealClock(), slog.NewJSONHandler(out, nil)))
	for b.Loop() {
		logger.Info("placed", "request", "0123456789abcdef", "endpoint", "i-0123456789", "waitMs", 3, "config", 7)
	}
}
