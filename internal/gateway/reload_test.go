package gateway

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/pkg/table"
)

// The settings file changes while the daemon runs. Bounds and seeds are taken
// on, addresses wait for the next start, and a bad file changes nothing.
func TestReload(t *testing.T) {
	first := settings.Settings{
		Host: "a", PeerAddress: "127.0.0.1:1", Peers: []string{"127.0.0.1:9"},
		Platform: settings.Platform{URL: "http://127.0.0.1:1", Timeout: table.Duration(time.Second)},
		Gateway:  &settings.Gateway{ReadyAddress: "127.0.0.1:2", Grace: table.Duration(8 * time.Second)},
	}
	g := New(&first, slog.New(slog.NewTextHandler(io.Discard, nil)))
	changed := first
	changed.Host = "b"
	changed.Peers = []string{"127.0.0.1:8"}
	changed.Gateway = &settings.Gateway{ReadyAddress: "127.0.0.1:3", Grace: table.Duration(time.Minute)}
	g.Reload(nil, nil, errors.New("bad file"))
	if g.conf().Gateway.Grace.Std() != 8*time.Second {
		t.Error("a bad file changed something")
	}
	g.Reload(&changed, nil, nil)
	got := g.conf()
	if got.Gateway.Grace.Std() != time.Minute || got.Peers[0] != "127.0.0.1:8" {
		t.Errorf("not taken on: %+v", got)
	}
	if got.Host != "a" || got.Gateway.ReadyAddress != "127.0.0.1:2" {
		t.Errorf("changed while running: %+v", got)
	}
	if !needsRestart(&first, &changed) {
		t.Error("the change of an address is not told")
	}
}
