package facts

import (
	"strconv"
	"strings"

	"github.com/beechhead/beechhead/pkg/table"
)

// bornSeparator stands between an endpoint's id and its start in its name.
const bornSeparator = "@"

// Name returns the name under which an endpoint is placed. It has the start of
// the endpoint's process: one that has started again holds nothing of before,
// and its load and health are unknown.
func (e Endpoint) Name() table.EndpointName {
	if e.Born == 0 {
		return table.EndpointName(e.ID)
	}
	return table.EndpointName(string(e.ID) + bornSeparator + strconv.FormatInt(e.Born, 36))
}

// IDOf returns the id under which the endpoint of a name has registered.
func IDOf(name table.EndpointName) EndpointID {
	id := string(name)
	if i := strings.LastIndex(id, bornSeparator); i >= 0 {
		id = id[:i]
	}
	return EndpointID(id)
}
