package quarantine

// recent holds a value for each of the keys added last.
type recent[K comparable, V any] struct {
	values map[K]V
	// ring holds the keys in the order in which they were added, next the index of the
	// oldest one once there are limit keys.
	ring  []K
	next  int
	limit int
}

func newRecent[K comparable, V any](limit int) recent[K, V] {
	return recent[K, V]{values: map[K]V{}, limit: limit}
}

// put sets the value of a key. A key that is held keeps its place in the order.
func (r *recent[K, V]) put(k K, v V) {
	_, known := r.values[k]
	r.values[k] = v
	if known {
		return
	}
	if len(r.ring) < r.limit {
		r.ring = append(r.ring, k)
		return
	}
	delete(r.values, r.ring[r.next])
	r.ring[r.next] = k
	r.next = (r.next + 1) % r.limit
}
