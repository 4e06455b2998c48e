package backlog

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/bubbleclock"
)

// testCaller reads a response at a speed.
type testCaller struct {
	mu       sync.Mutex
	received []byte
	// pause is the time for each part; parts are not taken while it is negative.
	pause time.Duration
	cut   chan struct{}
	once  sync.Once
}

func (c *testCaller) queue(b *Budget) *Queue {
	c.cut = make(chan struct{})
	q := NewQueue(b)
	q.Deliver = func(p []byte) error {
		var wait <-chan struct{}
		if c.pause >= 0 {
			done := make(chan struct{})
			time.AfterFunc(c.pause, func() { close(done) })
			wait = done
		}
		select {
		case <-wait:
		case <-c.cut:
			return errors.New("cut")
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.received = append(c.received, p...)
		return nil
	}
	q.Interrupt = func() { c.once.Do(func() { close(c.cut) }) }
	q.OnBehind, q.OnGiveWay = func() {}, func(Slowness) {}
	return q
}

func pattern(n int) []byte {
	p := make([]byte, n)
	for i := range p {
		p[i] = byte(i / 7)
	}
	return p
}

// Guards against lost or reordered parts, and against a reader of an endpoint that waits
// for a slow caller.
func TestQueueDeliversAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := bubbleclock.New()
		b := NewBudget(clock, 1<<20)
		c := &testCaller{}
		q := c.queue(b)
		data := pattern(20*blockSize + 5)
		c.pause = time.Second
		_ = q.Write(nil, data[:10])
		began := clock.Now()
		for at := 10; at < len(data); at += 3000 {
			if err := q.Write(nil, data[at:min(at+3000, len(data))]); err != nil {
				t.Fatal(err)
			}
		}
		// What fits into a connection's buffers is written by the reader itself.
		if took := clock.Since(began); took > directSize/3000*time.Second {
			t.Errorf("the endpoint waited for %v", took)
		}
		if err := q.Finish(t.Context(), time.Millisecond); err != nil || !bytes.Equal(c.received, data) {
			t.Errorf("received %d of %d bytes, %v", len(c.received), len(data), err)
		}
		if f := b.Figures(); f.Held != 0 || f.Behind == 0 {
			t.Errorf("figures %+v", f)
		}
	})
}

// Guards against memory and goroutines that stay after a caller has left, stopped reading or
// given way, and against such a response that ends without error.
func TestQueueEndsWithItsCaller(t *testing.T) {
	for name, tt := range map[string]struct {
		end  func(q *Queue, cancel context.CancelFunc)
		want error
	}{
		"left":          {func(_ *Queue, cancel context.CancelFunc) { cancel() }, context.Canceled},
		"stops reading": {func(*Queue, context.CancelFunc) {}, errStalled},
		"gives way": {func(q *Queue, _ context.CancelFunc) {
			time.Sleep(settleTime)
			other := q.budget.Open(func(Slowness) {})
			defer other.Close()
			_, _, _ = other.Reserve(3 * blockSize)
		}, ErrGaveWay},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := NewBudget(bubbleclock.New(), 8*blockSize)
				c := &testCaller{pause: -1}
				q := c.queue(b)
				if err := q.Write(nil, pattern(5*blockSize)); err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				tt.end(q, cancel)
				if err := q.Finish(ctx, time.Second); !errors.Is(err, tt.want) {
					t.Errorf("error %v, want %v", err, tt.want)
				}
				if err := q.Write(nil, []byte("more")); err == nil {
					t.Error("a response goes on that has ended")
				}
				if f := b.Figures(); f.Held != 0 || f.Responses != 0 {
					t.Errorf("figures %+v", f)
				}
			})
		})
	}
}

// Guards against a caller that reads well and is ended although nobody else needs room: an
// engine that sends faster than any caller reads fills the budget, and then the only
// response is also the slowest.
func TestSoleCallerNeverGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(bubbleclock.New(), 1<<20)
		c := &testCaller{pause: 4 * time.Millisecond}
		q := c.queue(b)
		data := pattern(8 << 20)
		for at := 0; at < len(data); at += 64 << 10 {
			if err := q.Write(nil, data[at:at+64<<10]); err != nil {
				t.Fatalf("after %d bytes: %v", at, err)
			}
		}
		if err := q.Finish(t.Context(), time.Second); err != nil || !bytes.Equal(c.received, data) {
			t.Errorf("received %d of %d bytes, %v", len(c.received), len(data), err)
		}
		if f := b.Figures(); f.Held != 0 || f.GaveWay != 0 {
			t.Errorf("figures %+v", f)
		}
	})
}

// Guards against an endpoint that waits for a caller that has stopped reading, and against
// one that reads on and is kept when a faster one needs the room.
func TestSlowestGivesWayOnceItStopsOrAnotherNeedsRoom(t *testing.T) {
	t.Run("stops", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := NewBudget(bubbleclock.New(), 8*blockSize)
			c := &testCaller{pause: -1}
			q := c.queue(b)
			began := time.Now()
			if err := q.Write(nil, pattern(20*blockSize)); !errors.Is(err, ErrGaveWay) {
				t.Errorf("error %v, want %v", err, ErrGaveWay)
			}
			if took := time.Since(began); took != settleTime {
				t.Errorf("the endpoint waited for %v, want %v", took, settleTime)
			}
			_ = q.Finish(t.Context(), time.Second)
		})
	})
	t.Run("another needs room", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := NewBudget(bubbleclock.New(), 32*blockSize)
			slow := &testCaller{pause: settleTime / 2}
			fast := &testCaller{pause: time.Millisecond}
			slowQueue, fastQueue := slow.queue(b), fast.queue(b)
			var slowErr error
			var wg sync.WaitGroup
			wg.Go(func() {
				slowErr = slowQueue.Write(nil, pattern(100*blockSize))
				_ = slowQueue.Finish(t.Context(), time.Second)
			})
			time.Sleep(5 * settleTime)
			data := pattern(2000 * blockSize)
			if err := fastQueue.Write(nil, data); err != nil {
				t.Error(err)
			}
			if err := fastQueue.Finish(t.Context(), time.Second); err != nil || !bytes.Equal(fast.received, data) {
				t.Errorf("received %d of %d bytes, %v", len(fast.received), len(data), err)
			}
			wg.Wait()
			if !errors.Is(slowErr, ErrGaveWay) {
				t.Errorf("the slow caller's response ended with %v, want %v", slowErr, ErrGaveWay)
			}
		})
	})
}

// Guards against a response that gives way after it has ended with success: its connection is
// then interrupted while it carries the next response. The choice falls on it while its last
// block is being delivered, and Finish returns before it is told.
func TestCompleteResponseNeverGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(bubbleclock.New(), 10*blockSize)
		c := &testCaller{pause: settleTime + time.Second}
		q := c.queue(b)
		q.Interrupt = func() { t.Error("a complete response was interrupted") }
		q.OnGiveWay = func(Slowness) { t.Error("a complete response gave way") }
		data := pattern(2 * blockSize)
		if err := q.Write(nil, data); err != nil {
			t.Fatal(err)
		}
		first := b.Open(func(Slowness) {
			if err := q.Finish(t.Context(), time.Minute); err != nil || !bytes.Equal(c.received, data) {
				t.Errorf("received %d of %d bytes, %v", len(c.received), len(data), err)
			}
		})
		reserve(t, first, 2*blockSize)
		other := b.Open(func(Slowness) {})
		time.Sleep(settleTime)
		if !reserve(t, other, 8*blockSize) {
			t.Error("no room")
		}
		other.Close()
		if f := b.Figures(); f.GaveWay != 0 || f.Held != 0 {
			t.Errorf("figures %+v", f)
		}
	})
}

// Guards against Interrupt and OnGiveWay that still run when Finish has returned.
func TestFinishWaitsForTheEndOfGivingWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(bubbleclock.New(), 8*blockSize)
		c := &testCaller{pause: -1}
		q := c.queue(b)
		cut := q.Interrupt
		interrupted, notified := false, false
		q.Interrupt = func() {
			cut()
			time.Sleep(time.Second)
			interrupted = true
		}
		q.OnGiveWay = func(Slowness) { notified = true }
		if err := q.Write(nil, pattern(5*blockSize)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(settleTime)
		var wg sync.WaitGroup
		wg.Go(func() {
			other := b.Open(func(Slowness) {})
			defer other.Close()
			reserve(t, other, 3*blockSize)
		})
		if err := q.Finish(t.Context(), time.Minute); !errors.Is(err, ErrGaveWay) || !interrupted || !notified {
			t.Errorf("error %v, interrupted %v, notified %v", err, interrupted, notified)
		}
		wg.Wait()
		if f := b.Figures(); f.GaveWay != 1 {
			t.Errorf("figures %+v", f)
		}
	})
}

// Guards against a wait for room that goes on although the caller has left or the response
// has failed, so that its attempt and the endpoint's slot are held meanwhile.
func TestWaitForRoomEndsWithTheCaller(t *testing.T) {
	for name, tt := range map[string]struct {
		end  func(q *Queue, cancel context.CancelFunc)
		want error
	}{
		"left":   {func(_ *Queue, cancel context.CancelFunc) { cancel() }, errLeft},
		"failed": {func(q *Queue, _ context.CancelFunc) { q.fail(errStalled, nil) }, errStalled},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := NewBudget(bubbleclock.New(), 8*blockSize)
				c := &testCaller{pause: -1}
				q := c.queue(b)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				const after = settleTime / 4
				began := time.Now()
				time.AfterFunc(after, func() { tt.end(q, cancel) })
				if err := q.Write(ctx.Done(), pattern(20*blockSize)); !errors.Is(err, tt.want) {
					t.Errorf("error %v, want %v", err, tt.want)
				}
				if took := time.Since(began); took != after {
					t.Errorf("the wait took %v, want %v", took, after)
				}
				cancel()
				if err := q.Finish(ctx, time.Minute); err == nil {
					t.Error("a truncated response looks complete")
				}
				if f := b.Figures(); f.Held != 0 || f.GaveWay != 0 {
					t.Errorf("figures %+v", f)
				}
			})
		})
	}
}
