package facts

import (
	"strconv"
	"strings"

	"github.com/beechhead/beechhead/pkg/table"
)

// bornSeparator separates an endpoint's ID from its start time in its name.
const bornSeparator = "@"

// Name returns the endpoint's name in the table. It contains the start time of
// the endpoint's process: a restarted one has no state from before, and its
// load and health are unknown.
func (e Endpoint) Name() table.EndpointName {
	if e.Born == 0 {
		return table.EndpointName(e.ID)
	}
	return table.EndpointName(string(e.ID) + bornSeparator + strconv.FormatInt(e.Born, 36))
}

// IDOf returns the ID under which the endpoint with a name has registered.
func IDOf(name table.EndpointName) EndpointID {
	id := string(name)
	if i := strings.LastIndex(id, bornSeparator); i >= 0 {
		id = id[:i]
	}
	return EndpointID(id)
}
