package gateway

import (
	"reflect"

	"github.com/beechhead/beechhead/internal/settings"
)

// Reload applies a changed settings file as far as possible while the daemon
// runs: the addresses of other hosts, and the gateway section except for its
// own addresses and ports. Everything else takes effect at the next start. An
// invalid file, for which err is set, changes nothing.
func (g *Gateway) Reload(s *settings.Settings, _ *settings.Secrets, err error) {
	if err != nil {
		g.logger.Error("settings not reloaded", "error", err)
		return
	}
	old := g.conf()
	merged := *old
	merged.Peers = s.Peers
	if s.Gateway != nil {
		bounds := *s.Gateway
		bounds.ReadyAddress, bounds.DirectoryAddress = old.Gateway.ReadyAddress, old.Gateway.DirectoryAddress
		bounds.BeaconPort = old.Gateway.BeaconPort
		merged.Gateway = &bounds
	}
	g.current.Store(&merged)
	g.logger.Info("settings reloaded", "changed", !reflect.DeepEqual(old, &merged), "needsRestart", needsRestart(old, s))
}

// needsRestart reports whether a file has changes that require a restart.
func needsRestart(old, s *settings.Settings) bool {
	a, b := *old, *s
	a.Peers, b.Peers = nil, nil
	if a.Gateway != nil && b.Gateway != nil {
		a.Gateway = &settings.Gateway{
			ReadyAddress: a.Gateway.ReadyAddress, DirectoryAddress: a.Gateway.DirectoryAddress, BeaconPort: a.Gateway.BeaconPort,
		}
		b.Gateway = &settings.Gateway{
			ReadyAddress: b.Gateway.ReadyAddress, DirectoryAddress: b.Gateway.DirectoryAddress, BeaconPort: b.Gateway.BeaconPort,
		}
	}
	return !reflect.DeepEqual(a, b)
}

// conf returns the current settings.
func (g *Gateway) conf() *settings.Settings { return g.current.Load() }
