package tablesync_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/standin"
	"github.com/beechhead/beechhead/internal/tablesync"
	"github.com/beechhead/beechhead/pkg/table"
)

// scenario is a list of edits through two daemons, "a" and "b".
type scenario struct {
	Name  string `json:"name"`
	Story string `json:"story"`
	Steps []step `json:"steps"`
	// Final maps rows and fields to their expected JSON after the last step.
	Final map[string]map[string]string `json:"final"`
	// Versions is the expected number of accepted edits after the last step,
	// including the initial put.
	Versions int `json:"versions"`
}

type step struct {
	By   string             `json:"by"`
	Edit *tablesync.RowEdit `json:"edit"`
	// Put replaces the whole table with that of the base version, with one row
	// changed.
	Put *tablesync.RowEdit `json:"put"`
	// Meanwhile is an edit that is accepted through the other daemon just
	// before this step's transaction reaches the store.
	Meanwhile *tablesync.RowEdit `json:"meanwhile"`
	// Faults remain set until the next step that sets them.
	Faults *standin.PlatformFaults `json:"faults"`
	// LoseReply drops the response to this step's transaction.
	LoseReply bool        `json:"loseReply"`
	Expect    expectation `json:"expect"`
}

type expectation struct {
	Version  table.Version `json:"version"`
	Repeated bool          `json:"repeated"`
	// Status is the expected HTTP status of the error, or zero for success.
	Status int `json:"status"`
	// Conflict lists the expected rows of the conflict with their fields.
	Conflict []tablesync.RowConflict `json:"conflict"`
	// Error is a part of the expected error message.
	Error string `json:"error"`
}

// testSite is a platform with the editors of two daemons.
type testSite struct {
	t        *testing.T
	platform *standin.Platform
	editors  map[string]*tablesync.Editor
	replicas map[string]*tablesync.Replica
	store    *tablesync.Store
	// beforeTransact is called once before the next transaction is handled.
	mu             sync.Mutex
	beforeTransact func()
}

func newTestSite(t *testing.T) *testSite {
	o := &testSite{t: t, platform: standin.NewPlatform(), editors: map[string]*tablesync.Editor{}, replicas: map[string]*tablesync.Replica{}}
	handler := o.platform.Handler()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == platform.PathTransact {
			o.runBeforeTransact()
		}
		handler.ServeHTTP(w, r)
	}))
	server.Config.ErrorLog = nil
	server.Start()
	t.Cleanup(server.Close)
	clock := clockwork.NewFakeClock()
	o.store = tablesync.NewStore(platform.NewClient(server.URL, http.DefaultTransport, 5*time.Second))
	push := func(context.Context, table.Version) (inForce, pending []string) { return nil, nil }
	for _, name := range []string{"a", "b"} {
		o.replicas[name] = tablesync.NewReplica(clock, metric.NewRegistry())
		o.editors[name] = tablesync.NewEditor(o.replicas[name], o.store, push, clock.Now)
	}
	endpoints := []table.Endpoint{
		{Name: "e", Kind: table.KindEngine, Pool: standin.SampleModel, URL: "http://127.0.0.1:1", Region: "r", Zone: "z", Concurrency: 1},
		{Name: "s", Kind: table.KindService, Pool: standin.SampleService, URL: "http://127.0.0.1:2", Region: "r", Zone: "z", Concurrency: 1},
	}
	if _, err := o.editors["a"].Put(context.Background(), table.Versioned{Table: standin.SampleTable(endpoints)}, "setup"); err != nil {
		t.Fatal(err)
	}
	return o
}

func (o *testSite) runBeforeTransact() {
	o.mu.Lock()
	f := o.beforeTransact
	o.beforeTransact = nil
	o.mu.Unlock()
	if f != nil {
		f()
	}
}

func (o *testSite) run(i int, s step) {
	o.t.Helper()
	if s.Faults != nil {
		o.platform.SetFaults(*s.Faults)
	}
	if s.Meanwhile != nil {
		other := map[string]string{"a": "b", "b": "a"}[s.By]
		o.beforeTransact = func() {
			if _, err := o.editors[other].Edit(context.Background(), *s.Meanwhile, other); err != nil {
				o.t.Errorf("step %d: meanwhile: %v", i, err)
			}
		}
	}
	if s.LoseReply {
		o.beforeTransact = func() { o.platform.SetFaults(standin.PlatformFaults{LoseReplies: 1}) }
	}
	var got *tablesync.EditResult
	var err error
	switch {
	case s.Edit != nil:
		got, err = o.editors[s.By].Edit(context.Background(), *s.Edit, s.By)
	case s.Put != nil:
		got, err = o.put(s.By, *s.Put)
	default:
		return
	}
	o.check(i, s.Expect, got, err)
}

// put replaces the whole table with that of the base version, with one change.
func (o *testSite) put(by string, r tablesync.RowEdit) (*tablesync.EditResult, error) {
	t, err := o.store.LoadVersion(context.Background(), r.Base)
	if err != nil {
		return nil, err
	}
	changed, err := t.Change(r.Action, r.Row, r.Fields)
	if err != nil {
		return nil, err
	}
	return o.editors[by].Put(context.Background(), table.Versioned{Version: r.Base, Table: changed}, by)
}

func (o *testSite) check(i int, want expectation, got *tablesync.EditResult, err error) {
	o.t.Helper()
	if want.Status != 0 {
		if err == nil || tablesync.HTTPStatus(err) != want.Status || !strings.Contains(err.Error(), want.Error) {
			o.t.Errorf("step %d: got error %v, want status %d with %q", i, err, want.Status, want.Error)
		}
		conflict, _ := errors.Into[*tablesync.Conflict](err)
		if want.Conflict != nil && (conflict == nil || !sameJSON(conflict.Rows, want.Conflict)) {
			o.t.Errorf("step %d: got conflict %+v, want %+v", i, conflict, want.Conflict)
		}
		return
	}
	if err != nil {
		o.t.Errorf("step %d: %v", i, err)
		return
	}
	if got.Version != want.Version || got.Repeated != want.Repeated {
		o.t.Errorf("step %d: got version %d, repeated %v, want %+v", i, got.Version, got.Repeated, want)
	}
}

func sameJSON(a, b any) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

func (o *testSite) checkFinal(s scenario) {
	o.t.Helper()
	o.platform.SetFaults(standin.PlatformFaults{})
	version, object, err := o.store.Head(context.Background())
	if err != nil || int(version) != s.Versions {
		o.t.Errorf("the head is version %d (%v), want %d", version, err, s.Versions)
	}
	data, err := o.store.Load(context.Background(), object)
	if err != nil {
		o.t.Fatal(err)
	}
	var t table.Table
	if err := json.Unmarshal(data, &t); err != nil {
		o.t.Fatal(err)
	}
	for row, fields := range s.Final {
		name, _ := strings.CutPrefix(row, "class/")
		cl, ok := t.Class(table.ClassName(name))
		if !ok {
			o.t.Errorf("%s is not in the table", row)
			continue
		}
		var got map[string]json.RawMessage
		encoded, _ := json.Marshal(cl)
		_ = json.Unmarshal(encoded, &got)
		for field, want := range fields {
			if string(got[field]) != want {
				o.t.Errorf("%s: %s is %s, want %s", row, field, got[field], want)
			}
		}
	}
	history, err := o.store.History(context.Background(), 0, 100)
	if err != nil || len(history) != s.Versions {
		o.t.Errorf("the history has %d entries (%v), want %d", len(history), err, s.Versions)
	}
	if kept := o.platform.Objects(); kept != s.Versions {
		o.t.Errorf("%d objects are stored, want %d", kept, s.Versions)
	}
}

// Each scenario is described in its data file.
func TestEdits(t *testing.T) {
	files, err := filepath.Glob("testdata/edits/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var s scenario
		if err := json.Unmarshal(data, &s); err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		t.Run(s.Name, func(t *testing.T) {
			o := newTestSite(t)
			for i, st := range s.Steps {
				o.run(i, st)
			}
			o.checkFinal(s)
		})
	}
}

// Several operators each edit a different row at the same time. Every edit must
// be accepted, none may be lost, and the history must contain each once.
func TestConcurrentEditsOfDifferentRows(t *testing.T) {
	o := newTestSite(t)
	rows := []string{"summary", "counter", "slots", "booking", "checks", "notes"}
	var wg sync.WaitGroup
	for i, row := range rows {
		wg.Go(func() {
			by := []string{"a", "b"}[i%2]
			edit := tablesync.RowEdit{Row: "class/" + row, Fields: map[string]string{"weight": "9"}}
			if _, err := o.editors[by].Edit(context.Background(), edit, by); err != nil {
				t.Errorf("%s: %v", row, err)
			}
		})
	}
	wg.Wait()
	final := map[string]map[string]string{}
	for _, row := range rows {
		final["class/"+row] = map[string]string{"weight": "9"}
	}
	o.checkFinal(scenario{Versions: 1 + len(rows), Final: final})
}

// Old tables would fill the object store if they were not deleted. After more
// edits than are retained, the number of objects must stay bounded, and an edit
// based on a deleted version must fail with a Conflict without rows.
func TestOldTablesAreDeleted(t *testing.T) {
	o := newTestSite(t)
	for i := range 60 {
		edit := tablesync.RowEdit{Row: "class/notes", Fields: map[string]string{"weight": []string{"2", "3"}[i%2]}}
		if _, err := o.editors["a"].Edit(context.Background(), edit, "a"); err != nil {
			t.Fatal(err)
		}
	}
	if kept := o.platform.Objects(); kept != 50 {
		t.Errorf("%d objects are kept, want 50", kept)
	}
	edit := tablesync.RowEdit{Base: 2, Row: "class/slots", Fields: map[string]string{"weight": "9"}}
	_, err := o.editors["b"].Edit(context.Background(), edit, "b")
	if conflict, ok := errors.Into[*tablesync.Conflict](err); !ok || conflict.Current != 61 || len(conflict.Rows) != 0 {
		t.Errorf("got %v", err)
	}
}

// The store is restored to a state before the newest edits. The daemon must
// keep the newer table, count the event, not treat the store as confirmation
// that it is up to date, and refuse edits until the store has caught up.
func TestStoreWithLostVersions(t *testing.T) {
	o := newTestSite(t)
	clock, metrics := clockwork.NewFakeClock(), metric.NewRegistry()
	k := tablesync.NewReplica(clock, metrics)
	data := o.replicas["a"].UpdateFor(0, true).Data
	if err := k.Adopt(7, data); err != nil {
		t.Fatal(err)
	}
	if err := k.Refresh(context.Background(), o.store); err != nil {
		t.Fatal(err)
	}
	if k.Version() != 7 || metrics.Count("table.storeOlder") != 1 || !k.Stale() {
		t.Errorf("version %d, storeOlder %d, stale %v", k.Version(), metrics.Count("table.storeOlder"), k.Stale())
	}
	e := tablesync.NewEditor(k, o.store, func(context.Context, table.Version) (inForce, pending []string) { return nil, nil }, clock.Now)
	_, err := e.Edit(context.Background(), tablesync.RowEdit{Row: "class/slots", Fields: map[string]string{"weight": "9"}}, "x")
	if !errors.Is(err, tablesync.ErrStoreOlder) {
		t.Errorf("got %v", err)
	}
}

// Contact with the store, directly or through peers, keeps the table from
// becoming stale. While the store is down, contact with peers does so as well,
// unless the daemon is in contact with fewer than half of the hosts.
func TestStale(t *testing.T) {
	data, err := os.ReadFile("testdata/stale.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name string `json:"name"`
		// Store and Peer are seconds before now; absent means never.
		Store    *int `json:"store"`
		Peer     *int `json:"peer"`
		PeerAge  int  `json:"peerStoreAge"`
		Minority bool `json:"minority"`
		Stale    bool `json:"stale"`
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	seconds := func(n int) time.Duration { return time.Duration(n) * time.Second }
	for _, c := range cases {
		clock := clockwork.NewFakeClock()
		k := tablesync.NewReplica(clock, metric.NewRegistry())
		k.InMinority = func() bool { return c.Minority }
		clock.Advance(time.Hour)
		if c.Store != nil {
			k.RecordStoreContact(clock.Now().Add(-seconds(*c.Store)))
		}
		if c.Peer != nil {
			k.RecordPeerContact(clock.Now().Add(-seconds(*c.Peer)), seconds(c.PeerAge))
		}
		if k.Stale() != c.Stale {
			t.Errorf("%s: stale is %v", c.Name, k.Stale())
		}
	}
}

// Daemons notify each other by function calls, and one of them fails while a
// version is propagated. All others must get the version, each must fetch it
// only once, and the result must list the hosts that have it.
func TestPropagation(t *testing.T) {
	const n = 9
	replicas := make([]*tablesync.Replica, n)
	spreaders := make([]*tablesync.Propagator, n)
	var mu sync.Mutex
	fetches := 0
	index := func(address string) int { return slices.Index(strings.Split("0 1 2 3 4 5 6 7 8", " "), address) }
	const failed = 4
	for i := range n {
		replicas[i] = tablesync.NewReplica(clockwork.NewFakeClock(), metric.NewRegistry())
		name := string(rune('0' + i))
		spreaders[i] = &tablesync.Propagator{
			Replica: replicas[i], Host: name, Count: func(string) {},
			Partners: func() []string { return []string{string(rune('0' + (i+1)%n)), string(rune('0' + (i*2+3)%n))} },
			Notify: func(ctx context.Context, address string, v table.Version) ([]string, error) {
				if index(address) == failed {
					return nil, errors.New("daemon is down")
				}
				return spreaders[index(address)].HandleNotification(ctx, name, v), nil
			},
			Fetch: func(_ context.Context, address string, newerThan table.Version, whole bool) (tablesync.Update, error) {
				f := replicas[index(address)].UpdateFor(newerThan, whole)
				if f.Version == 0 {
					return f, nil
				}
				mu.Lock()
				defer mu.Unlock()
				fetches++
				return f, nil
			},
		}
	}
	o := newTestSite(t)
	data := o.replicas["a"].UpdateFor(0, true).Data
	if err := replicas[0].Adopt(1, data); err != nil {
		t.Fatal(err)
	}
	got := spreaders[0].Propagate(context.Background(), 1)
	if want := strings.Split("0 1 2 3 5 6 7 8", " "); !slices.Equal(got, want) {
		t.Errorf("active on %v, want %v", got, want)
	}
	if fetches != n-2 {
		t.Errorf("%d fetches, want %d", fetches, n-2)
	}
}
