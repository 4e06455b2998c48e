package logline

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const logA = `{"time":"2026-01-01T00:00:10.5Z","level":"INFO","msg":"placed","host":"a","request":"r1","endpoint":"e1","coordinator":"b","waitMs":3}
{"time":"2026-01-01T00:00:10.1Z","level":"INFO","msg":"facts in force","host":"a","config":7}
not a line of ours
{"time":"2026-01-01T00:00:11Z","level":"INFO","msg":"attempt failed","host":"a","request":"r1","endpoint":"e1","reason":"silent","mayHaveRun":true,"events":2}
{"time":"2026-01-01T00:00:11.2Z","level":"INFO","msg":"placed","host":"a","request":"r2","endpoint":"e1"}
`

const logB = `   1.25 b {"time":"2026-01-01T00:00:10.7Z","level":"WARN","msg":"store lost","host":"b","feed":"config"}
{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"facts in force","host":"b","config":6}
{"time":"2026-01-01T00:00:10.6Z","level":"WARN","msg":"store lost","host":"c","feed":"config"}
{"broken
`

// The lines of a request are collected from several logs, ordered by time,
// together with the state changes on its hosts. Lines that can't be parsed are
// counted.
func TestReadTrace(t *testing.T) {
	s, err := ReadTrace("r1", strings.NewReader(logA), strings.NewReader(logB))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	s.Write(&b)
	goldie.New(t).Assert(t, "story", b.Bytes())
}

// A request without any lines is reported as such.
func TestReadTraceUnknown(t *testing.T) {
	s, err := ReadTrace("none", strings.NewReader(logA))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	s.Write(&b)
	if b.String() != "no line of 5 has the request none\n" {
		t.Errorf("printed %q", b.String())
	}
}

// Repeats of a request have different ids; the fingerprint selects the lines of
// all of them.
func TestReadTraceFingerprint(t *testing.T) {
	log := `{"time":"2026-01-01T00:00:10Z","msg":"attempt failed","host":"a","request":"r1","fingerprint":"f"}
{"time":"2026-01-01T00:00:11Z","msg":"attempt failed","host":"b","request":"r2","fingerprint":"f"}
{"time":"2026-01-01T00:00:12Z","msg":"attempt failed","host":"b","request":"r3","fingerprint":"g"}
`
	s, err := ReadTrace("f", strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	s.Write(&b)
	if len(s.Entries) != 2 || !strings.Contains(b.String(), "request=r2") {
		t.Errorf("printed %q", b.String())
	}
}

// Guards against a refused request whose only line is a digest that is not found.
func TestReadTraceFindsDigests(t *testing.T) {
	const log = `{"time":"2026-01-02T03:04:05Z","level":"INFO","msg":"refused as not run","host":"h","reason":"shed","requests":["a/2","ab/1","b"]}
`
	for request, want := range map[string]string{"a": "a/2", "b": "b", "ab": "ab/1", "c": ""} {
		trace, err := ReadTrace(request, strings.NewReader(log))
		if err != nil {
			t.Fatal(err)
		}
		got := ""
		for _, e := range trace.Entries {
			got += e.Fields["requests"]
		}
		if got != want {
			t.Errorf("request %s: found %q, want %q", request, got, want)
		}
	}
}
