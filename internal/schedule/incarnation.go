package schedule

// HostIncarnation is an incarnation of an entry daemon with waiting requests or
// grants.
type HostIncarnation struct {
	Host        Host
	Incarnation uint64
}

// HostIncarnations returns all incarnations with waiting requests or grants.
func (c *Cell) HostIncarnations() []HostIncarnation {
	seen := map[HostIncarnation]bool{}
	var all []HostIncarnation
	for id := range c.entries {
		h := HostIncarnation{id.Host, id.Incarnation}
		if !seen[h] {
			seen[h] = true
			all = append(all, h)
		}
	}
	return all
}
