package soak

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/platform/standin"
)

// Record is all that was seen in a run. The checks look at nothing else.
type Record struct {
	// Began and Ended bound the time of the callers; faults come until Calm.
	Began time.Time `json:"began"`
	Calm  time.Time `json:"calm"`
	Ended time.Time `json:"ended"`
	// Daemons is how many there are.
	Daemons int    `json:"daemons"`
	Calls   []Call `json:"calls"`
	Runs    []Run  `json:"runs"`
	// Arrivals are the requests that reached engines, also those turned away.
	Arrivals []Arrival `json:"arrivals"`
	// Preemptions are the streams that engines preempted because their memory ran out.
	Preemptions []standin.Preemption `json:"preemptions"`
	Faults      []Struck             `json:"faults"`
	Stops       []Stop               `json:"stops"`
	Drains      []Drain              `json:"drains"`
	// Starts are the starts of engines.
	Starts  []EngineStart `json:"starts"`
	Revoked []Revoke      `json:"revoked"`
	// Final has what each daemon answered at the very end.
	Final []Final `json:"final"`
	// Duties holds the calls of the platform's API for duties.
	Duties standin.DutyRecord `json:"duties"`
	// Noted are violations that were seen on the spot.
	Noted []Violation `json:"noted,omitempty"`
}

// Call is one request of a caller with what it got.
type Call struct {
	standin.Call
	Answer standin.CallResponse
	// Cause is the error of the answer as text.
	Cause string
	// Left reports whether the caller itself has ended the answer.
	Left   bool
	Daemon int
	// Sent is when the caller began, Ended when it had the answer.
	Sent, Ended time.Time
}

// served reports whether the caller got all that it wanted.
func (c *Call) served() bool { return c.Answer.Status == http.StatusOK && (c.Cause == "" || c.Left) }

// Run is one run of a request at an engine.
type Run struct {
	standin.Run
	Engine int
}

// Arrival is a request that has reached an engine.
type Arrival struct {
	standin.Arrival
	Engine int
}

// Struck is a fault with when it really began and was undone.
type Struck struct {
	Fault
	From, To time.Time
}

// Stop is a graceful stop.
type Stop struct {
	Daemon int
	At     time.Time
	// Ended is when the process was gone, Clean that its exit code was zero.
	Ended time.Time
	Clean bool
	// Young processes had hardly begun and had not asked for their signals yet,
	// of which each ends a process then; they had taken no request.
	Young bool
}

// Drain is a time for which an engine had announced that it leaves.
type Drain struct {
	Engine   int
	From, To time.Time
}

// Revoke is a key that was taken away.
type Revoke struct {
	Key string
	At  time.Time
}

// Final holds the answers of a daemon at the end.
type Final struct {
	Daemon int
	// Newest is the status on the newest route, Revoked that with a key that
	// was taken away, Usual those of ordinary requests.
	Newest, Revoked int
	Usual           []int
	// Lost holds the IDs of ordinary requests whose outcome was unknown, and which were
	// asked once more.
	Lost []string
}

// Violation is a promise that was broken.
type Violation struct {
	Promise string `json:"promise"`
	What    string `json:"what"`
}

// recorder collects a record. It is safe for concurrent use.
type recorder struct {
	mu  sync.Mutex
	rec Record
	// stopped holds the processes of the stops, in the same order.
	stopped []*process
}

func (r *recorder) noteFault(f Fault, from time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Faults = append(r.rec.Faults, Struck{Fault: f, From: from})
	return len(r.rec.Faults) - 1
}

func (r *recorder) endFault(i int, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Faults[i].To = to
}

func (r *recorder) noteStop(daemon int, p *process, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Stops = append(r.rec.Stops, Stop{Daemon: daemon, At: at})
	r.stopped = append(r.stopped, p)
}

// young reports whether a process that is gone had hardly begun.
func (r *recorder) young(daemon int, p *process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rec.young(daemon, p)
}

func (rec *Record) young(daemon int, p *process) bool {
	return p.ended.Sub(p.started)-rec.paused(daemon, p.started, p.ended) < youngTime
}

// paused returns how long a daemon was paused in a time.
func (rec *Record) paused(daemon int, from, to time.Time) time.Duration {
	total := time.Duration(0)
	for _, f := range rec.Faults {
		if f.Kind == KindPause && f.Target == daemon && f.overlaps(from, to) {
			total += minTime(f.To, to).Sub(maxTime(f.From, from))
		}
	}
	return total
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// youngTime is how long a process may take to ask for its signals on a busy
// machine.
const youngTime = 500 * time.Millisecond

func (r *recorder) noteDrain(engine int, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Drains = append(r.rec.Drains, Drain{Engine: engine, From: from, To: to})
}

func (r *recorder) noteRevoked(key string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Revoked = append(r.rec.Revoked, Revoke{Key: key, At: at})
}

func (r *recorder) noteCall(c Call) {
	if c.Answer.Err != nil {
		c.Cause, c.Left = c.Answer.Err.Error(), errors.Is(c.Answer.Err, standin.ErrLeft)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Calls = append(r.rec.Calls, c)
}

func (r *recorder) violate(promise, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Noted = append(r.rec.Noted, Violation{Promise: promise, What: what})
}

// finish completes the record once all is over.
func (r *recorder) finish() *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, p := range r.stopped {
		if p.gone() {
			s := &r.rec.Stops[i]
			s.Ended, s.Clean = p.ended, p.err == nil
			s.Young = r.rec.young(s.Daemon, p)
		}
	}
	return &r.rec
}
