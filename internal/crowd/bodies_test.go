//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against bodies that are held while their requests wait, whatever all of them take
// together.
func TestCrowdsOfBodies(t *testing.T) {
	play(t, map[string]test{
		"bodies a byte short": {crowd: crowd{clients: clients, rounds: 3, play: partly(
			func(id string) []byte {
				return []byte(head("pay", id, fmt.Sprintf("Content-Length: %d", maxBodyBytes)) + "\r\n")
			},
			func(string) []byte { return longBody[:maxBodyBytes-1] },
		)}},
		"chunked bodies a byte short": {crowd: crowd{clients: clients, rounds: 3, play: partly(
			func(id string) []byte { return []byte(head("pay", id, "Transfer-Encoding: chunked") + "\r\n") },
			func(string) []byte { return chunk() },
		)}},
		"bodies in tiny chunks, a byte short": {crowd: crowd{clients: clients, rounds: 3, play: partly(
			func(id string) []byte { return []byte(head("pay", id, "Transfer-Encoding: chunked") + "\r\n") },
			text(strings.Repeat("1\r\nb\r\n", maxBodyBytes/8)), text("1\r\n"),
		)}},
		"bodies without a limit": {
			crowd: crowd{clients: clients, rounds: 1, play: without(func(id string) []byte {
				return []byte(head("pay", id, "Transfer-Encoding: chunked") + "\r\n")
			}, append([]byte("10000\r\n"), append(bytes.Repeat([]byte("b"), 64<<10), "\r\n"...)...))},
			site: siteOptions{limits: map[string]any{"max-body-bytes": 0}},
		},
		"whole bodies, slow engines": {
			crowd: crowd{clients: clients, rounds: 1, play: whole(1, func(id string) []byte {
				return append([]byte(head("pay", id, fmt.Sprintf("Content-Length: %d", maxBodyBytes))+"\r\n"), longBody...)
			})},
			site: siteOptions{delay: 2 * time.Second}, ordinary: "chat",
		},
	})
}
