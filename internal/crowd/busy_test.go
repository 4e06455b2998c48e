//go:build crowd

package crowd

import (
	"strings"
	"testing"

	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// Guards against callers that leave the daemon no time to follow the configuration, so that it
// refuses everyone as out of date.
func TestBusyCrowds(t *testing.T) {
	play(t, map[string]test{
		"requests with a key that is not known": {crowd: crowd{clients: clients, rounds: 1, play: whole(20, func(id string) []byte {
			return append([]byte(strings.Replace(tinyHead(maxHeaderBytes, id), standin.SampleKey, "other", 1)), 'b')
		})}},
		"directory, many requests at once, no answer read": {address: directory, crowd: crowd{clients: 100, rounds: 3, play: without(
			text("GET "+platform.PathResolve+" HTTP/1.1\r\nHost: a\r\n\r\n"),
			[]byte(strings.Repeat("GET "+platform.PathResolve+" HTTP/1.1\r\nHost: a\r\n\r\n", 1000)),
		)}},
		"connections with whole requests that go on forever": {crowd: crowd{clients: clients, rounds: 1, play: without(small, small("again"))}, ordinary: "chat"},
	})
}
