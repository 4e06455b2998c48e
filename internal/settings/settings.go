// Package settings reads and checks the daemon's settings file.
package settings

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/schedule"
	"github.com/beechhead/beechhead/internal/strictjson"
	"github.com/beechhead/beechhead/pkg/table"
)

// Settings is the daemon's settings file.
type Settings struct {
	// Host names this host; it is unique among the hosts.
	Host   string `json:"host"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// The addresses are IP addresses with ports to listen on; they are also
	// what others are told to connect to.
	CallerAddress   string `json:"callerAddress"`
	PeerAddress     string `json:"peerAddress"`
	OperatorAddress string `json:"operatorAddress"`
	// Peers are peer addresses of some other hosts, to ask when the
	// platform's list can't be read at the start; it may be empty.
	Peers []string `json:"peers,omitempty"`
	// Platform is where the platform's services are.
	Platform Platform `json:"platform"`
	// OperatorKey opens the operators' API.
	OperatorKey Secret `json:"operatorKey"`
	// CallerTLS and OperatorTLS are absent where plain HTTP is spoken.
	CallerTLS   *TLS `json:"callerTls,omitempty"`
	OperatorTLS *TLS `json:"operatorTls,omitempty"`
	// PeerTLS makes daemons show each other certificates; all daemons have
	// it or none.
	PeerTLS *PeerTLS `json:"peerTls,omitempty"`
	// MemoryMB is the memory in MiB, Descriptors the number of descriptors that the daemon
	// may use; zero means those of its process. What callers may make it hold follows from
	// them.
	MemoryMB    float64 `json:"memoryMb,omitempty"`
	Descriptors int     `json:"descriptors,omitempty"`
	// CellSize bounds the endpoints of a cell; zero is the default.
	CellSize int `json:"cellSize,omitempty"`
	// Policy is the way of placing requests; empty is PolicyCells.
	Policy Policy `json:"policy,omitempty"`
	// Disabled are mechanisms of PolicyCells that are switched off, to measure
	// what they are worth.
	Disabled []schedule.Mechanism `json:"disabled,omitempty"`
	// Gateway makes the daemon take its configuration and endpoints from the
	// platform's store, where operators and endpoints keep them, and pass on
	// requests that it does not look into. OperatorAddress then serves the
	// figures only, and OperatorKey is not needed.
	Gateway *Gateway `json:"gateway,omitempty"`
}

// Policy is a way of placing requests on endpoints.
type Policy string

// The policies. All but PolicyCells are baselines for measurements.
const (
	// PolicyCells asks a coordinator per cell.
	PolicyCells Policy = "cells"
	// PolicyRoundRobin lets each daemon take the endpoints in turn, with a
	// queue in order of arrival.
	PolicyRoundRobin Policy = "roundRobin"
	// PolicyLeastOutstanding lets each daemon take the endpoint with the
	// fewest of its own requests.
	PolicyLeastOutstanding Policy = "leastOutstanding"
)

// Platform is the location of the platform's services.
type Platform struct {
	URL string `json:"url"`
	// Timeout bounds each call.
	Timeout table.Duration `json:"timeout"`
}

// Load reads and checks a settings file and the files that it names. The
// error is Faults if any were found.
func Load(path string) (s *Settings, secrets *Secrets, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read settings")
	}
	s, faults := parse(data)
	secrets, secretFaults := s.secrets()
	if faults = append(faults, secretFaults...); len(faults) > 0 {
		return nil, nil, faults
	}
	return s, secrets, nil
}

// parse reads and checks settings without the files that they name.
func parse(data []byte) (*Settings, Faults) {
	s := &Settings{}
	c := &checker{}
	for _, f := range strictjson.Decode(data, s) {
		c.malformed(f)
	}
	s.check(c)
	return s, c.faults
}

// Memory returns the memory that the daemon may use, in MiB; zero if the settings name none.
func (s *Settings) Memory() float64 {
	if s.Gateway != nil && s.Gateway.Machine != nil && s.Gateway.Machine.MemoryMB > 0 {
		return s.Gateway.Machine.MemoryMB
	}
	return s.MemoryMB
}
