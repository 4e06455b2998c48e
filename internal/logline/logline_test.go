package logline

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// The process that reads the log stops reading, so the pipe fills and writes to
// it block. Writing a log line must not block, and dropped lines must be
// counted.
func TestWriteDoesNotBlock(t *testing.T) {
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
	// The pipe buffers 64 KB, the queue holds queueCapacity lines, and one line
	// is being written.
	if out.Dropped() < lines-queueCapacity-100 {
		t.Errorf("%d of %d lines were dropped", out.Dropped(), lines)
	}
	out.Close(10 * time.Millisecond)
}

// Close writes the lines that are still queued.
func TestCloseFlushesQueue(t *testing.T) {
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

// Many lines with one message must not suppress lines with other messages, and
// the log states how many lines were suppressed.
func TestLimiterCountsPerMessage(t *testing.T) {
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
	if n := strings.Count(text, "msg=refused"); n != maxLinesPerMessage+1 {
		t.Errorf("%d refused lines, want %d", n, maxLinesPerMessage+1)
	}
	if !strings.Contains(text, "msg=leaving") || !strings.Contains(text, "leftOutBefore=60") {
		t.Errorf("the log has %s", text)
	}
}

// The sampler selects a fixed number of requests per second and counts the
// others.
func TestSampler(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := NewSampler(clock)
	picked := 0
	for range 3 {
		for range 50 {
			if s.Sample() {
				picked++
			}
		}
		clock.Advance(time.Second)
	}
	if picked != 3*sampledPerSecond || s.LeftOut() != 150-3*sampledPerSecond {
		t.Errorf("%d picked, %d left out", picked, s.LeftOut())
	}
}

// BenchmarkLine measures the cost of one log line: 0.7 µs on the machine
// described in docs/MEASUREMENTS.md.
func BenchmarkLine(b *testing.B) {
	out := NewWriter(io.Discard)
	logger := slog.New(NewLimiter(clockwork.NewRealClock(), slog.NewJSONHandler(out, nil)))
	for b.Loop() {
		logger.Info("placed", "request", "0123456789abcdef", "endpoint", "i-0123456789", "waitMs", 3, "config", 7)
	}
}

// Guards against a refusal that no line names because too many others were refused in the
// same second.
func TestDigestHasEachItem(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var b bytes.Buffer
	d := NewDigest(clock, slog.New(NewLimiter(clock, slog.NewTextHandler(&b, nil))), "refused as not run", "reason")
	for i := range 3*maxDigestItems + 1 {
		d.Add([]string{"shed", "queueFull"}[i%2], fmt.Sprintf("<%d>", i))
	}
	d.Flush()
	d.Add("shed", strings.Repeat("x", 10*maxItemSize))
	d.Flush()
	d.Flush()
	text := b.String()
	for i := range 3*maxDigestItems + 1 {
		if item := fmt.Sprintf("<%d>", i); strings.Count(text, item) != 1 {
			t.Errorf("item %s is not logged once", item)
		}
	}
	if n := strings.Count(text, "\n"); n != 8 {
		t.Errorf("%d lines, want 8", n)
	}
	if n := strings.Count(text, "x"); n > maxItemSize+len("a few more") {
		t.Errorf("an item of %d bytes, at most %d are allowed", n, maxItemSize)
	}
}

// Guards against lines and queues that grow with what callers send.
func TestLongValuesAreCut(t *testing.T) {
	var b bytes.Buffer
	logger := slog.New(slog.NewJSONHandler(&b, &slog.HandlerOptions{ReplaceAttr: CutValue}))
	logger.Info("refused", "request", strings.Repeat("é", 1<<20), "stack", strings.Repeat("s", 2*maxValueSize), "short", "x")
	text := b.String()
	if len(text) > 4*maxValueSize || !strings.Contains(text, "é...\"") {
		t.Errorf("a line of %d bytes: %s", len(text), text[:min(len(text), 200)])
	}
	if !strings.Contains(text, strings.Repeat("s", 2*maxValueSize)) || !strings.Contains(text, `"short":"x"`) {
		t.Errorf("a short value or a stack was cut: %s", text)
	}

	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	defer func() { _ = w.Close() }()
	out := NewWriter(w)
	line := bytes.Repeat([]byte("x"), 32<<10)
	const lines = 200
	for range lines {
		_, _ = out.Write(line)
	}
	// The pipe takes 64 KB.
	if queued := lines - out.Dropped(); queued > (maxQueued+64<<10)/int64(len(line))+1 {
		t.Errorf("%d lines of %d bytes are queued", queued, len(line))
	}
	out.Close(10 * time.Millisecond)
}
