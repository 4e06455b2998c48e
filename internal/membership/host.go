// Package membership maintains a daemon's view of the hosts: which are alive,
// leaving, suspect or gone. It holds and updates the state only; package
// heartbeat exchanges the messages.
package membership

// HostID is the id of an entry host.
type HostID string

// State is the lifecycle state of a daemon.
type State int

// The states of a daemon, in the order in which it passes through them.
const (
	Starting State = iota + 1
	Ready
	Leaving
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	case Leaving:
		return "leaving"
	}
	return "unknown"
}

// Host is the state that a daemon publishes about itself.
type Host struct {
	ID HostID
	// Incarnation is chosen when the daemon starts; a later run on the same
	// host has a greater one. See NewIncarnation.
	Incarnation uint64
	// Sequence grows with each change within the incarnation.
	Sequence      uint64
	State         State
	Region        string
	Zone          string
	CallerAddress string
	PeerAddress   string
	// Capacity is the number of requests per second that the host can carry;
	// zero means unknown. It does not change within an incarnation.
	Capacity uint32
	// Load is the number of requests in progress.
	Load uint32
	// TableVersion is the version of the table in force on the host. It is
	// known only for hosts with which this daemon has exchanged heartbeats.
	TableVersion uint64
}

// Status is a host's liveness as known to the other hosts.
type Status int

// The statuses. For the same sequence number, a later status in this list
// overrides an earlier one. The host itself refutes Suspect and Gone with a
// greater sequence number.
const (
	Alive Status = iota + 1
	// Suspect hosts did not respond on a new connection either. They are given
	// no new work, and count as gone unless they refute the suspicion within
	// SuspicionTimeout.
	Suspect
	// Gone hosts have terminated or can't be reached.
	Gone
)

// String returns the status's name.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Update is one host's state as daemons exchange it.
type Update struct {
	Host   Host
	Status Status
}

// supersedes reports whether the update is newer than the known one.
func (n Update) supersedes(known Update) bool {
	switch {
	case n.Host.Incarnation != known.Host.Incarnation:
		return n.Host.Incarnation > known.Host.Incarnation
	case n.Host.Sequence != known.Host.Sequence:
		return n.Host.Sequence > known.Host.Sequence
	}
	return n.Status > known.Status
}

// incarnationRandomBits is the number of random low bits of an incarnation, which
// distinguish two runs that start in the same millisecond.
const incarnationRandomBits = 20

// NewIncarnation returns an incarnation that is greater than the earlier ones of
// the same host, unless the host's clock was set back.
func NewIncarnation(unixMilli int64, random uint64) uint64 {
	return uint64(unixMilli)<<incarnationRandomBits | random&(1<<incarnationRandomBits-1)
}
