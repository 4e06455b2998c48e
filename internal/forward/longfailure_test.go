package forward

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/boottime"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/responseroom"
	"github.com/beechhead/beechhead/pkg/table"
)

// Guards against a long failure that is forwarded as a part of a stream that another endpoint
// has begun: one that is longer than what is held, and one for which there is no room.
func TestLongFailureIsNoPartOfStream(t *testing.T) {
	for name, size := range map[string]int{"too long": 2 * maxBuffered, "no room": maxBuffered / 2} {
		t.Run(name, func(t *testing.T) {
			s := &site{}
			s.listen(t, "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 99\r\n\r\nid: 1\ndata: x\n\n")
			s.listen(t, "HTTP/1.1 404 Not Found\r\nSigned: 1\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n"+strings.Repeat("x", size))
			f := newTestForwarder(s)
			f.Budget = func(table.Pool) Budget { return &fixedBudget{left: 9} }
			f.Wholes = responseroom.New(maxBuffered)
			other := f.Wholes.Open(nil)
			defer other.Close()
			if !other.Resize(maxBuffered / 32) {
				t.Fatal("no room for another response")
			}
			now := boottime.System{}.Now()
			heads := 0
			var body bytes.Buffer
			err := f.Do(t.Context(), &Request{
				ID: "r", Method: http.MethodPost, Target: "/x", Host: "h", Class: "c", Pool: "p", Resumable: true,
				Kind: testKinds["stream"], Attempts: 2, ReceivedAt: now, Deadline: now + time.Minute,
				MaySend: func() *outcome.Refusal { return nil },
			}, Sink{
				Head: func(int, http.Header, int64) { heads++ },
				Body: func(p []byte) error { body.Write(p); return nil },
			})
			if !errors.Is(err, ErrTruncated) || heads != 1 || body.String() != "id: 1\ndata: x\n\n" {
				t.Errorf("%v, %d heads, %d bytes", err, heads, body.Len())
			}
		})
	}
}

// Guards against a sound response that is lost, or not whole, since there is no room for it.
func TestResponseWithoutRoomIsForwarded(t *testing.T) {
	const size = maxBuffered / 2
	body := strings.Repeat("0123456789abcdef", size/16)
	for name, framing := range map[string]string{
		"length":    "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n" + body,
		"no length": "Connection: close\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			s := &site{}
			s.listen(t, "HTTP/1.1 200 OK\r\nSigned: 1\r\n"+framing)
			f := newTestForwarder(s)
			f.Wholes = responseroom.New(maxBuffered)
			other := f.Wholes.Open(nil)
			defer other.Close()
			other.Resize(maxBuffered / 32)
			now := boottime.System{}.Now()
			var got bytes.Buffer
			err := f.Do(t.Context(), &Request{
				ID: "r", Method: http.MethodPost, Target: "/x", Host: "h", Class: "c", Pool: "p",
				Kind: testKinds["unsafe"], Attempts: 1, ReceivedAt: now, Deadline: now + time.Minute,
				MaySend: func() *outcome.Refusal { return nil },
			}, Sink{
				Head: func(int, http.Header, int64) {},
				Body: func(p []byte) error { got.Write(p); return nil },
			})
			if err != nil || got.String() != body {
				t.Errorf("%v, %d bytes of %d, equal %v", err, got.Len(), size, got.String() == body)
			}
			if f.Wholes.Figures().Refused == 0 {
				t.Error("there was room")
			}
		})
	}
}
