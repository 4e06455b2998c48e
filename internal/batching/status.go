package batching

// Status is the state of a pool as shown to operators.
type Status struct {
	// DecodeEngines is the number of engines that are reserved for decoding.
	DecodeEngines int `json:"decodeEngines"`
	// Initial is set while too few streams have shown what prefills do to them, so
	// that the gap targets of the classes decide.
	Initial bool `json:"initial"`
	// Slowest is the highest processing time of an engine relative to one of median
	// speed, SlowestDecode the highest of the decode engines.
	Slowest       float64 `json:"slowest"`
	SlowestDecode float64 `json:"slowestDecode"`
	// PrefillRate is in tokens per second. EventMS is the time of an event without
	// concurrent prefill, MaxPrefillMS the most prefill that falls into one; zero
	// means unknown. They are those of an engine of median speed.
	PrefillRate  int   `json:"prefillRate"`
	OverheadMS   int64 `json:"overheadMs"`
	EventMS      int64 `json:"eventMs"`
	MaxPrefillMS int64 `json:"maxPrefillMs"`
}

// Status returns the state of the pool, or nil if no engine batches.
func (p *Pool) Status() *Status {
	if !p.hasBatching {
		return nil
	}
	s := &Status{
		DecodeEngines: p.decodeEngines,
		Initial:       p.isInitial(),
		PrefillRate:   int(p.prefillRate),
		OverheadMS:    p.overhead.Milliseconds(),
		EventMS:       p.model.MeanEventTime().Milliseconds(),
		MaxPrefillMS:  p.model.MaxPrefill().Milliseconds(),
	}
	for _, e := range p.engines {
		s.Slowest = max(s.Slowest, p.slowdownOf(e))
		if e.Decode {
			s.SlowestDecode = max(s.SlowestDecode, p.slowdownOf(e))
		}
	}
	return s
}

// Protected reports whether long prefills are kept away from the streams of the class.
func (q *Class) Protected() bool { return q.protected }
