//go:build crowd

package crowd

import (
	"strings"
	"testing"
)

// Guards against ids of requests that are remembered whole, however long they are.
func TestCrowdsOfIDs(t *testing.T) {
	play(t, map[string]test{
		"long ids of unsafe requests": {crowd: crowd{clients: clients, rounds: 1, play: whole(40, func(id string) []byte {
			return []byte(head("pay", id+strings.Repeat("i", 30<<10), "Content-Length: 0") + "\r\n")
		})}},
	})
}
