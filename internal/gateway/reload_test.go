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

// A reload while the daemon runs applies the gateway's bounds and the addresses
// of other hosts. The daemon's own name and addresses change only after a
// restart, and an invalid file changes nothing.
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
		t.Error("an invalid file changed the settings")
	}
	g.Reload(&changed, nil, nil)
	got := g.conf()
	if got.Gateway.Grace.Std() != time.Minute || got.Peers[0] != "127.0.0.1:8" {
		t.Errorf("not applied: %+v", got)
	}
	if got.Host != "a" || got.Gateway.ReadyAddress != "127.0.0.1:2" {
		t.Errorf("applied without a restart: %+v", got)
	}
	if !needsRestart(&first, &changed) {
		t.Error("the change of an address is not reported to need a restart")
	}
}
