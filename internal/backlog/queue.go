package backlog

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// blockSize is the size in bytes of the blocks in which data is held.
	blockSize = 16 << 10
	// directSize is how many bytes of a response are written by its reader. The buffers
	// of a connection take them, so that the write does not wait for the caller.
	directSize = blockSize
	// stallTime is how long a caller may take nothing of a response that is complete
	// after its deadline. The kernel takes more only once a third of its buffer is free,
	// so that this corresponds to a speed of 17 KB/s.
	stallTime = 10 * time.Second
)

// errStalled reports that a caller has stopped reading a late response.
var errStalled = errors.New("the caller has stopped reading")

// errLeft reports that nobody waits for the response any more.
var errLeft = errors.New("the caller has left")

// errFinished is the final state of a response that its caller has taken whole.
var errFinished = errors.New("the response has ended")

// blocks recycles the memory of what callers have read.
var blocks = sync.Pool{New: func() any { return new([blockSize]byte) }}

// Queue holds the parts of one response that its caller has not read yet. Write and Finish
// must not be called concurrently.
type Queue struct {
	budget *Budget
	// Deliver writes a part of the response to the caller, and waits for it.
	Deliver func(p []byte) error
	// Interrupt makes a call of Deliver that waits return. It may be called concurrently,
	// but neither twice nor after Finish has returned.
	Interrupt func()
	// OnBehind is called before something is held for the first time.
	OnBehind func()
	// OnGiveWay is called when the caller gives way, before Finish returns. The response
	// must be ended then.
	OnGiveWay func(Slowness)

	// direct is the number of bytes that were written without being held; -1 once
	// something is held.
	direct int
	// account is nil until something is held.
	account *Account

	mu sync.Mutex
	// held are the blocks that were not handed to Deliver yet, oldest first.
	held []*block
	// idle is closed when the goroutine that delivers has ended; nil if there was none.
	// It has ended when nothing is held or after an error.
	idle   chan struct{}
	active bool
	// delivered counts the blocks that were handed to Deliver.
	delivered int
	// err is the first error of the response, errFinished if it has ended without one.
	err error
	// failed is closed when the functions have returned that are called for an error.
	failed chan struct{}
}

type block struct {
	data *[blockSize]byte
	size int
}

// NewQueue returns an empty queue. Its functions must be set before use.
func NewQueue(b *Budget) *Queue { return &Queue{budget: b, failed: make(chan struct{})} }

// Write takes over a part of the response. It waits for the caller only if no room is left,
// and it is not known yet which callers are slow or this one is the slowest that goes on
// reading; that wait ends with an error once done is closed or the response fails.
func (q *Queue) Write(done <-chan struct{}, p []byte) error {
	if q.direct >= 0 && q.direct+len(p) <= directSize {
		q.direct += len(p)
		return q.Deliver(p)
	}
	q.direct = -1
	if q.account == nil {
		q.account = q.budget.Open(q.giveWay)
		q.OnBehind()
	}
	for len(p) > 0 {
		n, err := q.append(p)
		if err != nil {
			return err
		}
		if p = p[n:]; len(p) == 0 {
			break
		}
		if err := q.addBlock(done); err != nil {
			return err
		}
	}
	return nil
}

// append adds to the last block and returns how much it took.
func (q *Queue) append(p []byte) (n int, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil {
		return 0, q.err
	}
	if len(q.held) == 0 {
		return 0, nil
	}
	last := q.held[len(q.held)-1]
	n = copy(last.data[last.size:], p)
	last.size += n
	if last.size > 0 && !q.active {
		q.active, q.idle = true, make(chan struct{})
		go q.deliver(q.idle)
	}
	return n, nil
}

// addBlock adds an empty block as soon as there is room for it, unless done is closed before.
func (q *Queue) addBlock(done <-chan struct{}) error {
	for {
		wait, freed, err := q.account.Reserve(blockSize)
		if err != nil {
			return q.ended()
		}
		if wait == 0 {
			break
		}
		timer := q.budget.clock.NewTimer(wait)
		select {
		case <-freed:
		case <-timer.Chan():
		case <-q.failed:
		case <-done:
			err = errLeft
		}
		timer.Stop()
		if err != nil {
			return err
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil {
		q.account.Release(blockSize, 0)
		return q.err
	}
	data, ok := blocks.Get().(*[blockSize]byte)
	if !ok {
		data = new([blockSize]byte)
	}
	q.held = append(q.held, &block{data: data})
	return nil
}

// deliver delivers what is held until that is nothing.
func (q *Queue) deliver(idle chan struct{}) {
	defer close(idle)
	for b := q.next(); b != nil; b = q.next() {
		err := q.Deliver(b.data[:b.size])
		taken := Bytes(b.size)
		if err != nil {
			taken = 0
		}
		q.account.Release(blockSize, taken)
		blocks.Put(b.data)
		if err != nil {
			q.fail(err, nil)
		}
	}
}

// next returns the block that is delivered next. It returns nil if there is none, and the
// goroutine must then end.
func (q *Queue) next() *block {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil || len(q.held) == 0 || q.held[0].size == 0 {
		q.active = false
		return nil
	}
	b := q.held[0]
	q.held[0] = nil
	q.held = q.held[1:]
	q.delivered++
	return b
}

// fail ends the response: what is held is dropped. It calls notify, if that is set. It does
// nothing if the response has ended before.
func (q *Queue) fail(err error, notify func()) {
	q.mu.Lock()
	if q.err != nil {
		q.mu.Unlock()
		return
	}
	q.err = err
	dropped := q.held
	q.held = nil
	q.mu.Unlock()
	defer close(q.failed)
	for _, b := range dropped {
		blocks.Put(b.data)
		q.account.Release(blockSize, 0)
	}
	q.Interrupt()
	if notify != nil {
		notify()
	}
}

func (q *Queue) giveWay(s Slowness) {
	q.fail(ErrGaveWay, func() {
		q.budget.countGaveWay()
		q.OnGiveWay(s)
	})
}

// ended returns the error of a response whose account is closed. The account of a response
// that gives way is closed a moment before the response fails.
func (q *Queue) ended() error {
	q.mu.Lock()
	err := q.err
	q.mu.Unlock()
	if err != nil {
		return err
	}
	<-q.failed
	return ErrGaveWay
}

// progress returns the channel that is closed once nothing is held, nil if that is so, and
// the number of delivered blocks.
func (q *Queue) progress() (idle chan struct{}, delivered int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.active {
		idle = q.idle
	}
	return idle, q.delivered
}

// end sets the final state unless the response has failed, and returns the error if it has.
// A connection may carry another response afterwards, which must not be interrupted.
func (q *Queue) end() error {
	q.mu.Lock()
	err := q.err
	if err == nil {
		q.err = errFinished
	}
	q.mu.Unlock()
	if err != nil {
		<-q.failed
	}
	return err
}

// Finish waits until the caller has taken everything that is held. It returns an error if
// it has not: since ctx was cancelled, because the caller has left; or since the caller has
// taken nothing for some time after the deadline, which is due after some time.
// No function is called any more when it has returned. It must be called only once.
func (q *Queue) Finish(ctx context.Context, due time.Duration) error {
	if q.account == nil {
		return nil
	}
	defer q.account.Close()
	patience := max(due, stallTime)
	for {
		idle, before := q.progress()
		if idle == nil {
			return q.end()
		}
		timer := q.budget.clock.NewTimer(patience)
		select {
		case <-idle:
		case <-ctx.Done():
			q.fail(ctx.Err(), nil)
			<-idle
		case <-timer.Chan():
			if _, after := q.progress(); after == before {
				q.fail(errStalled, nil)
				<-idle
			}
			patience = stallTime
		}
		timer.Stop()
	}
}
