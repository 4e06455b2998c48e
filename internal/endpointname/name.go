// Package endpointname forms the names of registered endpoints. A name contains the start
// time of the endpoint's process: a restarted one has no state from before, and its load
// and health are unknown.
package endpointname

import (
	"strconv"
	"strings"
	"time"

	"github.com/beechhead/beechhead/pkg/table"
)

// separator separates an endpoint's ID from its start time.
const separator = "@"

// New returns the name of an endpoint that has registered under an ID and whose process
// started at a time in milliseconds since the Unix epoch, 0 if that is not known.
func New(id string, born int64) table.EndpointName {
	if born == 0 {
		return table.EndpointName(id)
	}
	return table.EndpointName(id + separator + strconv.FormatInt(born, 36))
}

// Start returns when the process of the endpoint with a name started, by the clock of its
// machine; zero if that is not known.
func Start(name table.EndpointName) time.Time {
	i := strings.LastIndex(string(name), separator)
	if i < 0 {
		return time.Time{}
	}
	born, err := strconv.ParseInt(string(name)[i+len(separator):], 36, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(born)
}

// ID returns the ID under which the endpoint with a name has registered.
func ID(name table.EndpointName) string {
	id := string(name)
	if i := strings.LastIndex(id, separator); i >= 0 {
		id = id[:i]
	}
	return id
}
