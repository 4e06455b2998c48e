package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/beechhead/beechhead/internal/facts"
	"github.com/beechhead/beechhead/platform"
)

// Sizes of odd entries in bytes. The platform's rows have up to 64 KiB, their keys 200 bytes.
const (
	oddSize    = 60_000
	oddKeySize = 200
)

// oddEntries returns entries among those of the engines that name no engine to use, by the
// keys under which they stand. Each replaces a field of the entry of a sound engine.
func oddEntries() map[string]string {
	all := map[string]string{
		"text": "no entry", "empty": "", "null": "null", "number": "1e400", "list": "[]", "not UTF-8": "\xff\xfe{",
		"cut": `{"service":"app","address":"127.0.0.1:9","state":"ready"`, "@": "{}", "a@b@1": "[[", "": "{}", "\xff": "{}",
		strings.Repeat("k", oddKeySize): "{}",
	}
	deep := strings.Repeat("[", oddSize/2) + strings.Repeat("]", oddSize/2)
	all["nested"] = deep
	numbers := []string{"1e400", "-1e400", "18446744073709551616", "-1", "1.5", "1e18", strings.Repeat("9", oddSize), deep, `"8"`, "true"}
	for _, field := range []string{"slots", "born"} {
		for i, n := range append(numbers, "9223372036854775807", "4611686018427387904", "4294967295000000") {
			all[fmt.Sprintf("%s %d", field, i)] = oddEntry(field, n)
		}
	}
	for i, n := range numbers {
		all[fmt.Sprintf("sequence %d", i)] = oddEntry("sequence", n)
	}
	long := `"` + strings.Repeat("x", oddSize) + `"`
	for _, field := range []string{"service", "zone", "version", "state", "address"} {
		for i, text := range []string{long, deep, "7", "{}", `"\u0000"`, `"a\r\nb"`} {
			all[fmt.Sprintf("%s %d", field, i)] = oddEntry(field, text)
		}
	}
	for i, address := range []string{"127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:99999999999999999999", "0.0.0.0:9", "[::]:9", "224.0.0.1:9", "[fe80::1%eth0]:9", "host:9", ":9", "127.0.0.1:9 "} {
		all[fmt.Sprintf("address %d of another form", i)] = oddEntry("address", fmt.Sprintf("%q", address))
	}
	return all
}

// oddEntry returns the entry of a sound engine with another value of a field.
func oddEntry(field, value string) string {
	fields := map[string]string{
		"service": `"app"`, "address": `"127.0.0.1:9"`, "zone": `"z"`, "version": `"v1"`, "state": `"ready"`,
		"slots": "8", "born": "1700000000000", "sequence": "1",
	}
	fields[field] = value
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(&b, ",%q:%s", name, fields[name])
	}
	return "{" + b.String()[1:] + "}"
}

// Guards against daemons that end, refuse or lose requests, or stop following the list of
// the engines, since another writer has left odd entries there or in other tables. Some
// daemons start while the entries are there.
func TestOddEntriesAmongThoseOfTheEngines(t *testing.T) {
	var log logBuffer
	s := newLoggedTestSite(t, 6, &log, nil)
	entries := oddEntries()
	for _, name := range []string{platform.TableEngines, platform.TableOperator, platform.TableHosts, platform.TableOrigins} {
		for key, text := range entries {
			s.store.PutRaw(name, key, []byte(text))
		}
	}
	for range 4 {
		s.addDaemon()
	}
	for _, d := range s.daemons {
		s.await("ready", func() bool { return d.g.acceptsCallers() && d.g.view.Ready().Len() == len(s.daemons) })
	}
	s.chatAndLook(5)
	for i := range 3 {
		id := fmt.Sprintf("app-new-%d", i)
		s.addEngine(id, "app")
		s.store.Remove(platform.TableEngines, fmt.Sprintf("app-%d", i+1))
		for _, d := range s.daemons {
			s.await("the new engine is known", func() bool {
				_, ok := d.g.holder.Endpoint(facts.EndpointID(id))
				return ok
			})
		}
	}
	s.chatAndLook(5)
	for _, d := range s.daemons {
		var known []string
		for _, e := range d.g.holder.Endpoints() {
			if _, odd := entries[string(e.ID)]; odd {
				known = append(known, fmt.Sprintf("%.20s", e.ID))
			}
		}
		if len(known) > 0 {
			t.Errorf("%s uses the odd entries %q", d.ip, known)
		}
		if n := d.g.metrics.Count("panics"); n > 0 {
			t.Errorf("%s: %d panics", d.ip, n)
		}
	}
	for _, line := range log.lines("panic") {
		t.Error(line)
	}
}
