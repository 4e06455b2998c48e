package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
)

// eventCase is a stream, its events and the error at its end.
type eventCase struct {
	Name   string   `json:"name"`
	Stream string   `json:"stream"`
	Events []string `json:"events"`
	End    string   `json:"end"`
}

func TestEvents(t *testing.T) {
	data, err := os.ReadFile("testdata/events.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []eventCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			events, err := readAll(strings.NewReader(c.Stream))
			if !slices.Equal(events, c.Events) {
				t.Errorf("events %q, want %q", events, c.Events)
			}
			if !strings.Contains(err.Error(), c.End) {
				t.Errorf("end %v, want %s", err, c.End)
			}
		})
	}
}

// An engine sends an event that does not end, as one line or as many. The
// reader must fail instead of buffering it without bound.
func TestOversizedEventIsMalformed(t *testing.T) {
	long := strings.Repeat("x", maxEventSize/4)
	for _, stream := range []string{"data: " + strings.Repeat(long, 5) + "\n\n", strings.Repeat("data: "+long+"\n", 5) + "\n"} {
		events, err := readAll(strings.NewReader(stream))
		if len(events) > 0 || !errors.Is(err, ErrMalformed) {
			t.Errorf("%d events, end %v", len(events), err)
		}
	}
}

// endless repeats a text.
type endless struct {
	text string
	// read is the number of bytes that were read.
	read int
}

func (e *endless) Read(p []byte) (n int, err error) {
	for n < len(p) {
		m := copy(p[n:], e.text[e.read%len(e.text):])
		n += m
		e.read += m
	}
	return n, nil
}

// Guards against an engine that sends lines without end that are no event.
func TestStreamWithoutEventsIsMalformed(t *testing.T) {
	for _, line := range []string{": x\n", "\n", "id: 1\n\n", "retry: 1\r\n"} {
		e := &endless{text: line}
		events, err := readAll(e)
		if len(events) > 0 || !errors.Is(err, ErrMalformed) || e.read > 2*maxWithoutData {
			t.Errorf("%q: %d events of %d bytes, end %v", line, len(events), e.read, err)
		}
	}
}

func readAll(r io.Reader) (events []string, end error) {
	reader := newEventReader(r)
	for {
		data, err := reader.next()
		if err != nil {
			return events, err
		}
		events = append(events, string(data))
	}
}

// FuzzEvents checks that no stream crashes the reader, that the events do not
// depend on how the stream is split into reads, and that data is read as it was
// written.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: b\n\n"), "a")
	f.Add([]byte("\ufeff: c\r\nevent: x\r\ndata\r\ndata:b\r\n\r\ndata"), "{\"a\":\"b\"}")
	f.Add([]byte("<html>"), "")
	f.Fuzz(func(t *testing.T, stream []byte, payload string) {
		whole, wholeEnd := readAll(bytes.NewReader(stream))
		split, splitEnd := readAll(iotest.OneByteReader(bytes.NewReader(stream)))
		if !slices.Equal(whole, split) || wholeEnd.Error() != splitEnd.Error() {
			t.Fatalf("%q (%v) or %q (%v)", whole, wholeEnd, split, splitEnd)
		}
		if payload == "" || strings.ContainsAny(payload, "\r\n") || len(payload) >= maxEventSize {
			return
		}
		got, err := readAll(strings.NewReader("data: " + payload + "\n\n"))
		if len(got) != 1 || got[0] != payload || !errors.Is(err, io.EOF) {
			t.Fatalf("wrote %q, read %q (%v)", payload, got, err)
		}
	})
}

// FuzzChunk checks that no event crashes ParseChunk, and that what it accepts
// is a chunk.
func FuzzChunk(f *testing.F) {
	f.Add([]byte(`{"choices":[{"delta":{"content":"a"}}]}`))
	f.Add([]byte(`{"error":{"message":"out of memory"}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := ParseChunk(data)
		_ = c.Text()
		if err == nil && (!json.Valid(data) || c.Choices == nil && c.Usage == nil) {
			t.Fatalf("accepted %q, which is not a chunk", data)
		}
	})
}

// An engine runs out of memory while it streams a response, reports this in an
// event, and then sends the end marker. The text so far must not be treated as
// the complete response.
func TestParseChunkErrors(t *testing.T) {
	for data, want := range map[string]error{
		`{"error":{"message":"out of memory"}}`: ErrFailed,
		`{"error":null,"choices":[]}`:           nil,
		`{}`:                                    ErrMalformed,
		`null`:                                  ErrMalformed,
		`[]`:                                    ErrMalformed,
		`{"choices":`:                           ErrMalformed,
	} {
		if _, err := ParseChunk([]byte(data)); !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", data, err, want)
		}
	}
}

func BenchmarkEvents(b *testing.B) {
	event := []byte(`data: {"id":"chatcmpl-7QZ","model":"assistant","created":1764720000,"choices":[{"index":0,"delta":{"content":"w17-3fa "},"finish_reason":null}]}` + "\n\n")
	reader := newEventReader(&endlessReader{data: event})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := reader.next(); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkParseChunk(b *testing.B) {
	data := []byte(`{"id":"chatcmpl-7QZ","model":"assistant","created":1764720000,"choices":[{"index":0,"delta":{"content":"w17-3fa "},"finish_reason":null}]}`)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseChunk(data); err != nil {
			b.Fatal(err)
		}
	}
}

// endlessReader is a reader that returns the same data endlessly.
type endlessReader struct {
	data []byte
	at   int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	n := copy(p, r.data[r.at:])
	r.at = (r.at + n) % len(r.data)
	return n, nil
}
