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

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

// Entry is one line of a log.
type Entry struct {
	Time    time.Time
	Host    string
	Level   string
	Message string
	// Fields has the others as they are written.
	Fields map[string]string
}

// Story is what logs say of one request.
type Story struct {
	// Request is its id, or the fingerprint that all attempts of a caller have.
	Request string
	// Entries are in order of time.
	Entries []Entry
	// Around are the changes of what the hosts believed, from contextBefore
	// before the first entry to the last one.
	Around []Entry
	// Lines counts all lines, Broken those that could not be read.
	Lines, Broken int
}

// contextBefore is how long before a request's first line changes are shown:
// what a daemon believed then decided about the request.
const contextBefore = 5 * time.Second

// beliefs are the messages that tell of a change of what a daemon believes, or
// of a dependency that was lost or came back.
var beliefs = map[string]bool{
	"started": true, "leaving": true, "left": true, "facts in force": true, "store lost": true, "store regained": true,
	"store came back from a copy": true, "request quarantined": true, "request released": true,
	"host gone": true, "this daemon was paused": true, "settings reloaded": true, "settings not reloaded": true,
	"configuration not taken": true, "requests are cut off": true,
}

// Tell reads logs and returns the story of one request, by its id, or by the
// fingerprint that all attempts of a caller at it have. What stands before the
// JSON object of a line is passed over, as other programs put times there.
func Tell(request string, logs ...io.Reader) (*Story, error) {
	s := &Story{Request: request}
	var all []Entry
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, maxLogLine)
		for lines.Scan() {
			s.Lines++
			e, ok := parseEntry(lines.Bytes())
			if !ok {
				s.Broken++
				continue
			}
			switch {
			case e.Fields["request"] == request, e.Fields["fingerprint"] == request:
				s.Entries = append(s.Entries, e)
			case beliefs[e.Message]:
				all = append(all, e)
			}
		}
		if err := lines.Err(); err != nil {
			return nil, errors.Wrap(err, "read log")
		}
	}
	byTime := func(a, b Entry) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.Entries, byTime)
	slices.SortStableFunc(all, byTime)
	s.keepAround(all)
	return s, nil
}

// keepAround keeps the changes of belief around the request, of the hosts that
// the request's lines name.
func (s *Story) keepAround(all []Entry) {
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
	for _, e := range all {
		if hosts[e.Host] && !e.Time.Before(from) && !e.Time.After(to) {
			s.Around = append(s.Around, e)
		}
	}
}

// parseEntry reads one line; false if it is none of ours.
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

// Write prints the story, with times from the first line on.
func (s *Story) Write(w io.Writer) {
	if len(s.Entries) == 0 {
		fmt.Fprintf(w, "no line of %d has the request %s\n", s.Lines, s.Request)
		return
	}
	begin := s.Entries[0].Time
	fmt.Fprintf(w, "request %s, from %s\n", s.Request, begin.Format(time.RFC3339Nano))
	show := func(e Entry) {
		fmt.Fprintf(w, "%+9.3f s  %-12s  %-18s  %s\n", e.Time.Sub(begin).Seconds(), e.Host, e.Message, e.details(s.Request))
	}
	for _, e := range s.Entries {
		show(e)
	}
	if len(s.Around) > 0 {
		fmt.Fprintln(w, "what the hosts believed:")
	}
	for _, e := range s.Around {
		show(e)
	}
	if s.Broken > 0 {
		fmt.Fprintf(w, "%d of %d lines could not be read\n", s.Broken, s.Lines)
	}
}

// details returns the fields but for the one that all lines share.
func (e *Entry) details(shared string) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		if e.Fields[name] != shared && e.Fields[name] != "" {
			parts = append(parts, name+"="+e.Fields[name])
		}
	}
	return strings.Join(parts, " ")
}
