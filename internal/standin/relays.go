package standin

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// relaysCommand runs relays whose faults are switched over HTTP.
type relaysCommand struct {
	listenOption
	Relays  []string `long:"relay" required:"yes" description:"NAME=LISTEN=TARGET; can be given several times"`
	Proxies []string `long:"proxy" description:"NAME=LISTEN of an HTTP proxy for CONNECT; can be given several times"`
}

// Execute runs the relays until a signal.
func (c *relaysCommand) Execute([]string) error {
	relays := map[string]*Relay{}
	for _, one := range c.Relays {
		f := strings.Split(one, "=")
		if len(f) != 3 {
			return errors.Errorf("relay %q is not NAME=LISTEN=TARGET", one)
		}
		r, err := NewRelayOn(f[1], f[2])
		if err != nil {
			return errors.Wrapf(err, "relay %s", f[0])
		}
		defer r.Close()
		relays[f[0]] = r
	}
	proxies := map[string]*Proxy{}
	for _, one := range c.Proxies {
		name, address, ok := strings.Cut(one, "=")
		if !ok {
			return errors.Errorf("proxy %q is not NAME=LISTEN", one)
		}
		p, err := NewProxy(address)
		if err != nil {
			return errors.Wrapf(err, "proxy %s", name)
		}
		defer p.Close()
		proxies[name] = p
	}
	return c.serve(relayControl(relays, proxies))
}

// relayControl switches the faults of named relays: POST /NAME/faults with
// RelayFaults, POST /NAME/reset, POST /NAME/silence, POST /NAME/end and POST
// /NAME/listen; and the paths of named proxies: POST /NAME/path with a PathState.
func relayControl(relays map[string]*Relay, proxies map[string]*Proxy) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{name}/path", func(w http.ResponseWriter, r *http.Request) {
		var state PathState
		p := proxies[r.PathValue("name")]
		if p == nil {
			http.NotFound(w, r)
			return
		}
		if err := json.NewDecoder(r.Body).Decode(&state); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetState(state)
	})
	handle := func(action string, do func(*Relay, *http.Request) error) {
		mux.HandleFunc("POST /{name}/"+action, func(w http.ResponseWriter, r *http.Request) {
			relay := relays[r.PathValue("name")]
			if relay == nil {
				http.NotFound(w, r)
				return
			}
			if err := do(relay, r); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
			}
		})
	}
	handle("reset", func(relay *Relay, _ *http.Request) error { relay.Reset(); return nil })
	handle("silence", func(relay *Relay, _ *http.Request) error { relay.Silence(); return nil })
	handle("end", func(relay *Relay, _ *http.Request) error { relay.End(); return nil })
	handle("listen", func(relay *Relay, _ *http.Request) error { return relay.Listen() })
	handle("faults", func(relay *Relay, r *http.Request) error {
		var f RelayFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			return err
		}
		relay.SetFaults(f)
		return nil
	})
	return mux
}
