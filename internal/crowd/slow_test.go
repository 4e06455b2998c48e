//go:build crowd

package crowd

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beechhead/beechhead/platform/standin"
)

// slowReader reads a response in parts with pauses between them.
type slowReader struct {
	size, part int
	pause      time.Duration
	// whole counts the callers that got all of their response.
	whole atomic.Int64
}

func (s *slowReader) play(c *client) {
	h := head("open", id(c, 0), "Content-Length: 0")
	if !c.send([]byte(strings.Replace(h, "/x ", "/x"+standin.PaddingQuery(s.size)+" ", 1) + "\r\n")) {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	for err == nil {
		time.Sleep(s.pause)
		_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
		_, err = io.CopyN(io.Discard, resp.Body, int64(s.part))
	}
	if errors.Is(err, io.EOF) && resp.StatusCode == http.StatusOK {
		s.whole.Add(1)
	}
}

// Guards against responses for slow callers that hold more than the host has, alone and beside
// callers that need the memory for their requests, and reports how many of the slow ones get
// all of theirs.
func TestCallersThatReadSlowly(t *testing.T) {
	for name, tt := range map[string]struct{ callers, bodies int }{
		"60":                           {callers: 60},
		"160":                          {callers: 160},
		"160, beside bodies cut short": {callers: 160, bodies: 100},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, siteOptions{})
			r := &slowReader{size: 2 << 20, part: 64 << 10, pause: 250 * time.Millisecond}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				crowd{clients: tt.callers, rounds: 1, play: r.play}.start(t, s.callers)()
			}()
			if tt.bodies > 0 {
				time.Sleep(4 * time.Second)
				short := func(id string) []byte {
					return append([]byte(head("pay", id, fmt.Sprintf("Content-Length: %d", maxBodyBytes))+"\r\n"), longBody[1:]...)
				}
				defer crowd{clients: tt.bodies, rounds: 2, play: partly(short)}.start(t, s.callers)()
			}
			<-ended
			s.checkOrdinary(t, "look")
			s.checkBounds(t)
			t.Logf("%d of %d slow callers got all of their responses", r.whole.Load(), tt.callers)
		})
	}
}
