// Package platform speaks to the platform's services: the transactional table
// service, the object store and the list of hosts. The protocol is described
// in docs/PROTOCOLS.md.
package platform

import (
	"encoding/json"
	"net/http"
	"strings"
)

// Paths of the protocol.
const (
	PathRead     = "/v1/rows/read"
	PathScan     = "/v1/rows/scan"
	PathTransact = "/v1/rows/transact"
	PathObjects  = "/v1/objects/"
	PathHosts    = "/v1/hosts"
)

// Key names a row in one of the table service's tables.
type Key struct {
	Table string `json:"table"`
	Key   string `json:"key"`
}

// Row is a stored row. Version grows by one with each write of the row and is
// zero for a row that does not exist.
type Row struct {
	Key
	// Era is the store's era as of the answer, zero for a store without eras.
	Era     Era             `json:"-"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// ReadRequest asks for rows by key.
type ReadRequest struct {
	Keys []Key `json:"keys"`
}

// ReadResponse has one row for each key asked, in order.
type ReadResponse struct {
	Rows []Row `json:"rows"`
}

// ScanRequest asks for the rows of a table after a key, in key order.
type ScanRequest struct {
	Table string `json:"table"`
	After string `json:"after"`
	Limit int    `json:"limit"`
}

// Write sets or deletes a row if its version is still Expect.
type Write struct {
	Key
	// Expect is the row's version before the write; zero means absent.
	Expect uint64          `json:"expect"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// TransactRequest applies all of its writes or none.
type TransactRequest struct {
	Writes []Write `json:"writes"`
}

// TransactResponse reports whether the writes were applied. If not, Rows shows
// the rows as they stand.
type TransactResponse struct {
	Committed bool  `json:"committed"`
	Rows      []Row `json:"rows"`
}

// HostState is the platform's view of a host.
type HostState string

// The states in the platform's list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's list, which lags behind the truth.
type Host struct {
	ID string `json:"id"`
	// PeerAddress is empty for hosts that run no daemon.
	PeerAddress   string `json:"peerAddress,omitempty"`
	CallerAddress string `json:"callerAddress,omitempty"`
	// IP is what endpoints' addresses are matched with.
	IP     string    `json:"ip"`
	Region string    `json:"region"`
	Zone   string    `json:"zone"`
	State  HostState `json:"state"`
}

// HostsResponse is the platform's list.
type HostsResponse struct {
	Hosts []Host `json:"hosts"`
}

// IsWrite reports whether a request of the protocol changes anything.
func IsWrite(method, path string) bool {
	return path == PathTransact || strings.HasPrefix(path, PathObjects) && method != http.MethodGet
}
