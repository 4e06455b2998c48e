package schedule

import "time"

// replacements maps endpoints to those that have registered under the same ID since. A
// process that starts again serves before its registration is known, so that it may run
// what was granted under the name before.
type replacements map[*endpointState]*endpointState

// findReplacements returns which of the added endpoints replace others. What an endpoint
// has turned away counts for the one that replaces it, which may be brittle or not.
func findReplacements(removed map[Endpoint]*endpointState, added map[string]*endpointState) replacements {
	replaced := replacements{}
	for _, e := range removed {
		if to := added[e.policy.ID]; to != nil && e.policy.ID != "" {
			replaced[e] = to
			to.brittle = e.brittle
			to.brittle.isReported = false
			to.InheritSpeed(&e.Engine)
		}
	}
	return replaced
}

// moveGrants moves the grants of replaced endpoints to those that replace them. Grants
// that had ended with the process before are released soon.
func (c *Cell) moveGrants(replaced replacements) {
	if len(replaced) == 0 {
		return
	}
	now := c.now()
	for _, e := range c.entries {
		if to := replaced[e.endpoint]; to != nil {
			c.moveGrant(e, to, now)
		}
	}
}

func (c *Cell) moveGrant(e *entry, to *endpointState, now time.Duration) {
	e.Begun = !e.endpoint.EndPrefill(&e.RequestState)
	e.vacate()
	c.occupy(e, to, now)
}

// holderOf returns the endpoint that runs a grant of another coordinator, or nil.
func (c *Cell) holderOf(h *Holding) *endpointState {
	if e := c.endpoints[h.Endpoint]; e != nil || h.EndpointID == "" {
		return e
	}
	for _, e := range c.sortedEndpoints {
		if e.policy.ID == h.EndpointID {
			return e
		}
	}
	return nil
}
