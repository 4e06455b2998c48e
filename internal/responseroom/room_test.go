package responseroom

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
)

const testLimit = 256 << 10

func newTestRoom() *Room { return New(testLimit * share) }

// Guards against responses that hold more together than they may, and against a small one
// that ends for want of room while a larger one keeps it.
func TestLargestGivesWay(t *testing.T) {
	r := newTestRoom()
	gone := 0
	large := r.Open(func() { gone++ })
	if !large.Resize(testLimit) {
		t.Fatal("a response that is alone has no room")
	}
	small := r.Open(nil)
	if !small.Resize(freeSize) || gone != 0 {
		t.Error("what is not accounted for has no room")
	}
	if !small.Resize(32<<10) || gone != 1 || !large.HasGivenWay() {
		t.Errorf("the larger response has given way %d times, want once", gone)
	}
	if large.Resize(testLimit) {
		t.Error("a response that has given way has room")
	}
	large.Close()
	other := r.Open(func() { gone++ })
	if other.Resize(testLimit) || gone != 1 {
		t.Error("the largest response has room beside another one")
	}
	if f := r.Figures(); f.Held != 64<<10 || f.GaveWay != 1 || f.Refused != 1 {
		t.Errorf("figures %+v", f)
	}
	small.Close()
	if !other.Resize(testLimit) {
		t.Error("no room after the other response has ended")
	}
	other.Close()
	if f := r.Figures(); f.Held != 0 || len(r.holdings) != 0 {
		t.Errorf("%d bytes are held at the end", f.Held)
	}
}

// Guards against a single response that takes all memory.
func TestResponseThatIsAlone(t *testing.T) {
	const total = 100 << 20
	h := New(total).Open(nil)
	if !h.Resize(total/2) || h.Resize(total/2+1) {
		t.Error("a response that is alone does not have its share")
	}
}

// Guards against responses that never give way and exceed the limit.
func TestNoRoomBesideThoseThatStay(t *testing.T) {
	r := newTestRoom()
	for range 4 {
		if !r.Open(nil).Resize(testLimit / 8) {
			t.Fatal("no room below the limit")
		}
	}
	if r.Open(func() {}).Resize(testLimit / 8) {
		t.Error("room beyond the limit")
	}
}

// Guards against bytes of a response that are lost when there is no room for more, or when its
// reader sends them with an error.
func TestReadAll(t *testing.T) {
	text := strings.Repeat("0123456789", 10<<10)
	full := newTestRoom()
	full.Open(nil).Resize(testLimit / 2)
	failed := errors.New("failed")
	for name, tt := range map[string]struct {
		room *Room
		r    io.Reader
		most int
		want error
	}{
		"no limit":         {nil, strings.NewReader(text), 1 << 20, nil},
		"room":             {newTestRoom(), strings.NewReader(text), 1 << 20, nil},
		"one byte a time":  {newTestRoom(), iotest.OneByteReader(strings.NewReader(text)), 1 << 20, nil},
		"end with data":    {newTestRoom(), iotest.DataErrReader(strings.NewReader(text)), 1 << 20, nil},
		"longer than most": {newTestRoom(), strings.NewReader(text), 1000, nil},
		"fails":            {newTestRoom(), io.MultiReader(strings.NewReader(text), iotest.ErrReader(failed)), 1 << 20, failed},
		"no room":          {full, strings.NewReader(text), 1 << 20, ErrNoRoom},
	} {
		t.Run(name, func(t *testing.T) {
			h := tt.room.Open(nil)
			defer h.Close()
			data, err := h.ReadAll(tt.r, tt.most)
			if !errors.Is(err, tt.want) || tt.want == nil && err != nil {
				t.Errorf("error %v, want %v", err, tt.want)
			}
			rest, _ := io.ReadAll(tt.r)
			if want := text[:min(tt.most, len(text))]; tt.want == nil && string(data) != want || string(data)+string(rest) != text {
				t.Errorf("%d bytes read and %d left of %d", len(data), len(rest), len(text))
			}
		})
	}
}

// Guards against a buffer of events that keeps the room of a large one.
func TestAppendAndDiscard(t *testing.T) {
	r := newTestRoom()
	h := r.Open(func() {})
	var data []byte
	var ok bool
	for i := range 100 {
		if data, ok = h.Append(data, bytes.Repeat([]byte{byte(i)}, 1000)); !ok {
			t.Fatalf("no room after %d bytes", len(data))
		}
	}
	if held := r.Figures().Held; held < len(data) {
		t.Errorf("%d bytes are accounted for, %d are held", held, len(data))
	}
	data = h.Discard(data, 99_999)
	if len(data) != 1 || data[0] != 99 || r.Figures().Held != 0 {
		t.Errorf("%d bytes are left, %d accounted for", len(data), r.Figures().Held)
	}
	if data = h.Discard(data, 1); len(data) != 0 {
		t.Errorf("%d bytes are left", len(data))
	}
	h.Close()
	if _, ok := h.Append(nil, make([]byte, testLimit)); ok {
		t.Error("room after the end")
	}
}
