package schedule

// Holder is an incarnation of an entry daemon with waiting requests or grants.
type Holder struct {
	Host        Host
	Incarnation uint64
}

// Holders returns all incarnations with waiting requests or grants.
func (c *Cell) Holders() []Holder {
	seen := map[Holder]bool{}
	var all []Holder
	for id := range c.entries {
		h := Holder{id.Host, id.Incarnation}
		if !seen[h] {
			seen[h] = true
			all = append(all, h)
		}
	}
	return all
}
