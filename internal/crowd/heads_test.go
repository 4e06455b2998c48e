//go:build crowd

package crowd

import (
	"testing"

	"github.com/beechhead/beechhead/platform"
)

// Guards against heads that are held whole, line by line, whatever all of them take together:
// a line of four bytes takes some 30 times that.
func TestCrowdsOfHeads(t *testing.T) {
	play(t, map[string]test{
		"tiny lines, whole requests": {crowd: crowd{clients: clients, rounds: 1, play: whole(20, func(id string) []byte {
			return append([]byte(tinyHead(maxHeaderBytes, id)), 'b')
		})}},
		"tiny lines, the body a byte short": {crowd: crowd{clients: clients, rounds: 3, play: partly(func(id string) []byte {
			return []byte(tinyHead(maxHeaderBytes, id))
		})}},
		"tiny lines, no end of the head": {crowd: crowd{clients: clients, rounds: 3, play: partly(func(id string) []byte {
			h := tinyHead(maxHeaderBytes, id)
			return []byte(h[:len(h)-2])
		})}},
		"directory, tiny lines": {address: directory, crowd: crowd{clients: 100, rounds: 3, play: partly(
			text("GET "+platform.PathResolve+" HTTP/1.1\r\nHost: a\r\n"), func(string) []byte { return []byte(tinyLines(1 << 20)) },
		)}},
		"directory, tiny lines without end": {address: directory, crowd: crowd{clients: 100, rounds: 3, play: without(
			text("GET "+platform.PathResolve+" HTTP/1.1\r\nHost: a\r\n"), manyTiny,
		)}},
		"readiness check, tiny lines without end": {address: func(s *site) string { return s.ready }, crowd: crowd{clients: 100, rounds: 3, play: without(
			text("GET "+platform.PathReady+" HTTP/1.1\r\nHost: a\r\n"), manyTiny,
		)}},
		"metrics, tiny lines without end": {address: func(s *site) string { return s.figures }, crowd: crowd{clients: 100, rounds: 3, play: without(
			text("GET /metrics HTTP/1.1\r\nHost: a\r\n"), manyTiny,
		)}},
	})
}
