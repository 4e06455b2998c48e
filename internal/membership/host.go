// Package membership keeps what a daemon knows of the hosts: who is there, who
// is leaving, and who is silent. It decides and keeps state only; the daemon
// sends its messages.
package membership

// HostID names an entry host.
type HostID string

// State is where a daemon stands in its life.
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

// Host is what a daemon says of itself.
type Host struct {
	ID HostID
	// Incarnation is drawn when the daemon starts; a later run of the host
	// has a greater one. See NewIncarnation.
	Incarnation uint64
	// Sequence grows with each change within the incarnation.
	Sequence      uint64
	State         State
	Region        string
	Zone          string
	CallerAddress string
	PeerAddress   string
	// Capacity is how many requests a second it can carry; zero is unknown. It
	// does not change within an incarnation.
	Capacity uint32
	// Load is the number of requests in progress.
	Load uint32
	// TableVersion is the version of the table in force there. It is known
	// of hosts only that this daemon has exchanged heartbeats with.
	TableVersion uint64
}

// Status is what the hosts think of one of them.
type Status int

// The statuses. Within one sequence number the later ones override the
// earlier ones; the host itself refutes them by a greater sequence number.
const (
	Alive Status = iota + 1
	// Suspect hosts did not answer on a new connection. They take no new
	// work, and count as gone unless they refute it in time.
	Suspect
	// Gone hosts are not there: their incarnation has ended or is cut off.
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

// News is one host's state as it is passed from daemon to daemon.
type News struct {
	Host   Host
	Status Status
}

// supersedes tells whether the news is newer than what is known.
func (n News) supersedes(known News) bool {
	switch {
	case n.Host.Incarnation != known.Host.Incarnation:
		return n.Host.Incarnation > known.Host.Incarnation
	case n.Host.Sequence != known.Host.Sequence:
		return n.Host.Sequence > known.Host.Sequence
	}
	return n.Status > known.Status
}

// Bits of an incarnation that are random, so that two runs that start in the
// same millisecond differ.
const incarnationRandomBits = 20

// NewIncarnation returns an incarnation that is greater than those drawn
// earlier on the same host, as long as its clock was not set back.
func NewIncarnation(unixMilli int64, random uint64) uint64 {
	return uint64(unixMilli)<<incarnationRandomBits | random&(1<<incarnationRandomBits-1)
}
