//go:build crowd

package crowd

import (
	"testing"
)

// Guards against prompts that make the daemon remember thousands of parts each, for as long as
// an engine may have them.
func TestCrowdsOfParts(t *testing.T) {
	play(t, map[string]test{
		"many parts of prompts": {crowd: crowd{clients: clients, rounds: 1, play: whole(10, func(id string) []byte { return promptParts(id, 1) })}, ordinary: "look"},
		"many parts of prompts without tokens": {
			crowd: crowd{clients: clients, rounds: 1, play: whole(10, func(id string) []byte { return promptParts(id, 0) })}, ordinary: "look",
		},
	})
}
