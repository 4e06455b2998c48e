package logline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxLineSize bounds a line of a log, in bytes.
const maxLineSize = 1 << 20

// Entry is a parsed line of a log.
type Entry struct {
	Time    time.Time
	Host    string
	Level   string
	Message string
	// Fields holds the remaining attributes, formatted as text.
	Fields map[string]string
}

// Trace holds the log lines of one request and the state changes of the hosts
// that handled it.
type Trace struct {
	// Request is the request's id, or the fingerprint that all attempts of a
	// caller share. The lines of requests that continue its stream are included.
	Request string
	// Entries are the request's lines, ordered by time.
	Entries []Entry
	// StateChanges are the state changes of the request's hosts, from
	// contextBefore before its first line until its last line.
	StateChanges []Entry
	// Lines counts all lines, Unparsed those that could not be parsed.
	Lines, Unparsed int
}

// contextBefore is how long before a request's first line state changes are
// included, since the state that a daemon had then determined its decisions
// about the request.
const contextBefore = 5 * time.Second

// stateChanges are the messages that log a change of a daemon's own state, of
// its view of other hosts, of its configuration or quarantine, of its path to the
// endpoints and what they announce, or of the availability of the store.
var stateChanges = map[string]bool{
	"started": true, "leaving": true, "left": true, "facts in force": true, "store lost": true, "store regained": true,
	"store came back from a copy": true, "request quarantined": true, "request released": true,
	"path to endpoints lost": true, "path to endpoints regained": true, "endpoint reached only through another daemon": true,
	"endpoint announces that it is leaving": true, "endpoint asks for back-off": true, "endpoint limit": true,
	"host gone": true, "this daemon was paused": true, "settings reloaded": true, "settings not reloaded": true,
	"configuration not taken": true, "requests are cut off": true,
}

// ReadTrace reads logs and returns the lines of one request, selected by its id
// or by the fingerprint that all attempts of a caller share. Text before the
// JSON object of a line, such as a timestamp added by another program, is
// skipped.
func ReadTrace(request string, logs ...io.Reader) (*Trace, error) {
	s := &Trace{Request: request}
	var changes []Entry
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, maxLineSize)
		for lines.Scan() {
			s.Lines++
			e, ok := parseEntry(lines.Bytes())
			if !ok {
				s.Unparsed++
				continue
			}
			switch {
			case e.Fields["request"] == request, e.Fields["resumes"] == request, e.Fields["fingerprint"] == request, e.takeItem(request):
				s.Entries = append(s.Entries, e)
			case stateChanges[e.Message]:
				changes = append(changes, e)
			}
		}
		if err := lines.Err(); err != nil {
			return nil, errors.Wrap(err, "read log")
		}
	}
	compareTimes := func(a, b Entry) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.Entries, compareTimes)
	slices.SortStableFunc(changes, compareTimes)
	s.addContext(changes)
	return s, nil
}

// takeItem reports whether the line is a digest that has the request, and drops the others
// from it then.
func (e *Entry) takeItem(request string) bool {
	items, ok := e.Fields[digestItems]
	if !ok {
		return false
	}
	for item := range strings.FieldsSeq(strings.Trim(items, "[]")) {
		if id, _, _ := strings.Cut(item, "/"); id == request {
			e.Fields[digestItems] = item
			return true
		}
	}
	return false
}

// addContext adds the state changes around the request, on the hosts that the
// request's lines name.
func (s *Trace) addContext(changes []Entry) {
	if len(s.Entries) == 0 {
		return
	}
	hosts := map[string]bool{}
	for _, e := range s.Entries {
		hosts[e.Host] = true
		hosts[e.Fields["coordinator"]] = true
	}
	from := s.Entries[0].Time.Add(-contextBefore)
	to := s.Entries[len(s.Entries)-1].Time
	for _, e := range changes {
		if hosts[e.Host] && !e.Time.Before(from) && !e.Time.After(to) {
			s.StateChanges = append(s.StateChanges, e)
		}
	}
}

// parseEntry parses a line; it returns false if the line is not one of a
// daemon's log.
func parseEntry(line []byte) (Entry, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Entry{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(line[start:], &fields); err != nil {
		return Entry{}, false
	}
	text := func(name string) string {
		v, ok := fields[name]
		delete(fields, name)
		if !ok {
			return ""
		}
		return fmt.Sprint(v)
	}
	at, err := time.Parse(time.RFC3339Nano, text("time"))
	if err != nil {
		return Entry{}, false
	}
	e := Entry{Time: at, Host: text("host"), Level: text("level"), Message: text("msg"), Fields: map[string]string{}}
	for name, v := range fields {
		e.Fields[name] = fmt.Sprint(v)
	}
	return e, true
}

// Write prints the request's lines and the state changes, with times relative
// to the request's first line.
func (s *Trace) Write(w io.Writer) {
	if len(s.Entries) == 0 {
		fmt.Fprintf(w, "no line of %d has the request %s\n", s.Lines, s.Request)
		return
	}
	begin := s.Entries[0].Time
	fmt.Fprintf(w, "request %s, from %s\n", s.Request, begin.Format(time.RFC3339Nano))
	writeEntry := func(e Entry) {
		fmt.Fprintf(w, "%+9.3f s  %-12s  %-18s  %s\n", e.Time.Sub(begin).Seconds(), e.Host, e.Message, e.details(s.Request))
	}
	for _, e := range s.Entries {
		writeEntry(e)
	}
	if len(s.StateChanges) > 0 {
		fmt.Fprintln(w, "state changes on its hosts:")
	}
	for _, e := range s.StateChanges {
		writeEntry(e)
	}
	if s.Unparsed > 0 {
		fmt.Fprintf(w, "%d of %d lines could not be parsed\n", s.Unparsed, s.Lines)
	}
}

// details formats the fields, without empty ones and without those that have
// the value shared.
func (e *Entry) details(shared string) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		if e.Fields[name] != shared && e.Fields[name] != "" {
			parts = append(parts, name+"="+e.Fields[name])
		}
	}
	return strings.Join(parts, " ")
}
