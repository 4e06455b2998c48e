package endpoint

import (
	"net"
	"testing"
)

// Guards against the loss of a daemon's own path that counts as the end of an endpoint,
// for which the request that ran there would be quarantined by all daemons.
func TestRefusedConnectionIsAnEndOnlyIfAnotherEndpointIsReached(t *testing.T) {
	listen := func() (url string, end func()) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return "http://" + l.Addr().String(), func() { _ = l.Close() }
	}
	running, end := listen()
	defer end()
	ended, end := listen()
	end()
	alsoEnded, end := listen()
	end()
	for _, tt := range []struct {
		name, url string
		others    []string
		want      bool
	}{
		{"it accepts", running, []string{ended}, false},
		{"it refuses, another accepts", ended, []string{alsoEnded, running}, true},
		{"all refuse", ended, []string{alsoEnded}, false},
		{"it refuses, there is no other", ended, nil, true},
	} {
		if got := HasTerminated(t.Context(), tt.url, tt.others); got != tt.want {
			t.Errorf("%s: terminated: %v, want %v", tt.name, got, tt.want)
		}
	}
}
