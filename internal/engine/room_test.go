package engine

import (
	"io"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/responseroom"
)

// Guards against streams that hold lines without end beyond the room for them, and against
// short events that get none.
func TestEventsWithoutEndAreBounded(t *testing.T) {
	const total = 1 << 20
	room := responseroom.New(total)
	other := room.Open(nil)
	defer other.Close()
	if !other.Resize(total / 32) {
		t.Fatal("no room for another event")
	}
	holding := room.Open(func() {})
	defer holding.Close()
	read := func(text string) (events int, err error) {
		r := newEventReader(strings.NewReader(text))
		r.hasRoom = holding.Resize
		for {
			if _, err = r.next(); err != nil {
				return events, err
			}
			events++
		}
	}
	if n, err := read(strings.Repeat("data: short\n\n", 10_000)); n != 10_000 || !errors.Is(err, io.EOF) {
		t.Errorf("%d short events, %v", n, err)
	}
	for name, text := range map[string]string{
		"a line":     "data: " + strings.Repeat("x", total/2),
		"data lines": strings.Repeat("data: x\n", total/16),
	} {
		if n, err := read(text); n != 0 || !errors.Is(err, ErrMalformed) {
			t.Errorf("%s without end: %d events, %v", name, n, err)
		}
	}
	if held := room.Figures().Held; held > total/8 {
		t.Errorf("%d bytes are held", held)
	}
}
