//go:build crowd

package crowd

import (
	"strings"
	"testing"

	"github.com/beechhead/beechhead/platform"
	"github.com/beechhead/beechhead/platform/standin"
)

// Guards against connections that take the descriptors which the daemon needs for endpoints,
// the store and other callers.
func TestCrowdsOfConnections(t *testing.T) {
	play(t, map[string]test{
		"connections that send nothing":                    {crowd: crowd{clients: idleClients, rounds: 2, play: func(*client) {}}},
		"directory, connections that send nothing":         {address: directory, crowd: crowd{clients: idleClients, rounds: 2, play: func(*client) {}}},
		"idle connections after a request":                 {crowd: crowd{clients: idleClients, rounds: 2, play: whole(1, small)}},
		"directory, idle connections after a request":      {address: directory, crowd: crowd{clients: idleClients, rounds: 2, play: whole(1, text("GET "+platform.PathResolve+" HTTP/1.1\r\nHost: a\r\n\r\n"))}},
		"connections that send a byte":                     {crowd: crowd{clients: idleClients, rounds: 2, play: partly(text("P"))}},
		"connections with a head of ordinary size, no end": {crowd: crowd{clients: idleClients, rounds: 2, play: partly(func(id string) []byte { return []byte(head("look", id)) })}},
		"connections with a small body, a byte short":      {crowd: crowd{clients: idleClients, rounds: 2, play: partly(func(id string) []byte { return []byte(head("look", id, "Content-Length: 2") + "\r\nb") })}},
		"many answers that nobody reads": {
			crowd: crowd{clients: 500, rounds: 1, play: partly(func(id string) []byte {
				one := strings.Replace(head("open", id, "Content-Length: 0"), "/x ", "/x"+standin.PaddingQuery(16<<10)+" ", 1) + "\r\n"
				return []byte(strings.Repeat(one, 100))
			})}, ordinary: "chat",
		},
	})
}
