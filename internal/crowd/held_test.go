//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/beechhead/beechhead/platform/standin"
)

// Guards against losing what other bounds have kept small all along.
func TestCrowdsWithinOtherBounds(t *testing.T) {
	play(t, map[string]test{
		"long answers that nobody reads": {crowd: crowd{clients: clients, rounds: 1, play: partly(func(id string) []byte {
			h := head("open", id, "Content-Length: 0")
			return []byte(strings.Replace(h, "/x ", "/x"+standin.PaddingQuery(512<<10)+" ", 1) + "\r\n")
		})}},
		"long lines without end":              {crowd: crowd{clients: clients, rounds: 2, play: without(func(id string) []byte { return []byte(head("look", id)) }, manyLong)}},
		"one line without end":                {crowd: crowd{clients: clients, rounds: 2, play: without(func(id string) []byte { return []byte(head("look", id) + "Long: ") }, longBody)}},
		"tiny lines without end":              {crowd: crowd{clients: clients, rounds: 2, play: without(func(id string) []byte { return []byte(head("look", id)) }, manyTiny)}},
		"a request line without end":          {crowd: crowd{clients: clients, rounds: 2, play: without(text("POST /look/"), longBody)}},
		"empty lines without end":             {crowd: crowd{clients: clients, rounds: 2, play: without(text("\r\n"), bytes.Repeat([]byte("\r\n"), 32<<10))}},
		"empty lines without end, after one":  {crowd: crowd{clients: clients, rounds: 2, play: without(small, bytes.Repeat([]byte("\r\n"), 32<<10))}},
		"trailers without end":                {crowd: crowd{clients: clients, rounds: 2, play: without(func(id string) []byte { return []byte(head("look", id, "Transfer-Encoding: chunked") + "\r\n0\r\n") }, manyTiny)}},
		"an extension of a chunk without end": {crowd: crowd{clients: clients, rounds: 2, play: without(func(id string) []byte { return []byte(head("look", id, "Transfer-Encoding: chunked") + "\r\n1;") }, longBody)}},
		"claimed bodies of which nothing comes": {crowd: crowd{clients: clients, rounds: 3, play: partly(func(id string) []byte {
			return []byte(head("look", id, fmt.Sprintf("Content-Length: %d", maxBodyBytes)) + "\r\n")
		})}},
		"claimed bodies of which little comes": {crowd: crowd{clients: clients, rounds: 3, play: partly(func(id string) []byte {
			return []byte(head("look", id, fmt.Sprintf("Content-Length: %d", maxBodyBytes)) + "\r\n" + strings.Repeat("b", 16<<10))
		})}},
		"bodies over the limit, in chunks": {crowd: crowd{clients: clients, rounds: 2, play: without(func(id string) []byte { return []byte(head("look", id, "Transfer-Encoding: chunked") + "\r\n") }, append([]byte("10000\r\n"), append(bytes.Repeat([]byte("b"), 64<<10), "\r\n"...)...))}},
		"paths of legal size that do not exist": {crowd: crowd{clients: clients, rounds: 1, play: whole(20, func(id string) []byte {
			return []byte(strings.Replace(head("none", id, "Content-Length: 0"), "/x ", "/"+strings.Repeat("x", 30<<10)+" ", 1) + "\r\n")
		})}},
		"bytes that are no request, without end": {crowd: crowd{clients: clients, rounds: 2, play: without(text("\x16\x03\x01"), bytes.Repeat([]byte{0, 255}, 32<<10))}},
	})
}
