package table

// index maps names to row positions. A position may be out of date, so a lookup
// compares the name of the row at that position.
type index struct {
	classes   map[ClassName]int
	endpoints map[EndpointName]int
	accounts  map[AccountName]int
	pools     map[Pool]EndpointKind
}

// BuildIndex builds the index for lookups by name. It must be called before the
// table is shared between goroutines, and again after rows are added or
// removed.
func (t *Table) BuildIndex() {
	x := &index{
		classes:   make(map[ClassName]int, len(t.Classes)),
		endpoints: make(map[EndpointName]int, len(t.Endpoints)),
		accounts:  make(map[AccountName]int, len(t.Accounts)),
		pools:     map[Pool]EndpointKind{},
	}
	for i := range t.Classes {
		x.classes[t.Classes[i].Name] = i
	}
	for i := range t.Endpoints {
		x.endpoints[t.Endpoints[i].Name] = i
		x.pools[t.Endpoints[i].Pool] = t.Endpoints[i].Kind
	}
	for i := range t.Accounts {
		x.accounts[t.Accounts[i].Name] = i
	}
	t.index = x
}

// Class returns the class with the given name.
func (t *Table) Class(name ClassName) (*Class, bool) {
	if t.index != nil {
		if i, ok := t.index.classes[name]; ok && i < len(t.Classes) && t.Classes[i].Name == name {
			return &t.Classes[i], true
		}
		return nil, false
	}
	for i := range t.Classes {
		if t.Classes[i].Name == name {
			return &t.Classes[i], true
		}
	}
	return nil, false
}

// Endpoint returns the endpoint with the given name.
func (t *Table) Endpoint(name EndpointName) (*Endpoint, bool) {
	if t.index != nil {
		if i, ok := t.index.endpoints[name]; ok && i < len(t.Endpoints) && t.Endpoints[i].Name == name {
			return &t.Endpoints[i], true
		}
		return nil, false
	}
	for i := range t.Endpoints {
		if t.Endpoints[i].Name == name {
			return &t.Endpoints[i], true
		}
	}
	return nil, false
}

// Account returns the client account with the given name.
func (t *Table) Account(name AccountName) (*Account, bool) {
	if t.index != nil {
		if i, ok := t.index.accounts[name]; ok && i < len(t.Accounts) && t.Accounts[i].Name == name {
			return &t.Accounts[i], true
		}
		return nil, false
	}
	for i := range t.Accounts {
		if t.Accounts[i].Name == name {
			return &t.Accounts[i], true
		}
	}
	return nil, false
}

// PoolKind returns the kind of a pool's endpoints, or an empty string if the
// pool has none.
func (t *Table) PoolKind(pool Pool) EndpointKind {
	if t.index != nil {
		return t.index.pools[pool]
	}
	for i := range t.Endpoints {
		if t.Endpoints[i].Pool == pool {
			return t.Endpoints[i].Kind
		}
	}
	return ""
}
