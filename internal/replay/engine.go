package replay

import (
	"slices"
	"time"

	"github.com/beechhead/beechhead/internal/schedule"
)

// engine emulates one batching engine. It works in steps: in each it reads a
// chunk of the prompts that wait to be read, the most urgent first, and
// produces a token for every request that has been read.
type engine struct {
	spec *Engines
	name schedule.Endpoint
	zone string
	// index is the engine's place in the scenario, slowdown multiplies the time of each
	// step.
	index    int
	slowdown float64
	// busy is the sum of the times of all steps.
	busy time.Duration
	down bool
	// stepping reports whether the end of a step is to come.
	stepping bool
	// epoch counts crashes; what was under way before one is void.
	epoch   int
	waiting []*job
	running []*job
	kept    map[uint64]*keptPart
	// tokens is what kept parts and the answers of running requests take.
	tokens int
	clock  int64
}

// keptPart is a part of a prompt that an engine keeps.
type keptPart struct {
	tokens int
	// users counts the running requests that have it; only parts without any
	// may make room.
	users int
	used  int64
}

// job is one request at an engine.
type job struct {
	request *request
	// unread is how many tokens of the prompt are still to be read, made how
	// many of the answer were produced.
	unread, made int
}

func newEngine(spec *Engines, name schedule.Endpoint) *engine {
	return &engine{spec: spec, name: name, slowdown: 1, kept: map[uint64]*keptPart{}}
}

// keeps returns how many tokens from the start of a prompt the engine keeps.
func (e *engine) keeps(parts []schedule.Part) int {
	n := 0
	for _, p := range parts {
		if e.kept[p.ID] == nil {
			break
		}
		n += p.Tokens
	}
	return n
}

// admit lets waiting requests run while there are slots and memory.
func (e *engine) admit(fetched func(*job) int) {
	slices.SortStableFunc(e.waiting, func(a, b *job) int { return a.request.tier() - b.request.tier() })
	for len(e.waiting) > 0 && len(e.running) < e.spec.Slots {
		j := e.waiting[0]
		has := max(e.keeps(j.request.Parts), fetched(j))
		if !e.makeRoom(j.request.PromptTokens - e.keeps(j.request.Parts) + j.request.answer) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
		j.unread = max(1, j.request.PromptTokens-has)
		j.request.read(e, has)
		e.use(j.request.Parts)
		e.tokens += j.request.answer
	}
}

// makeRoom drops parts that nobody uses, the least recently used first.
func (e *engine) makeRoom(tokens int) bool {
	for e.tokens+tokens > e.spec.MemoryTokens {
		var oldest uint64
		var found *keptPart
		for id, p := range e.kept {
			if p.users == 0 && (found == nil || p.used < found.used) {
				oldest, found = id, p
			}
		}
		if found == nil {
			return len(e.running) == 0
		}
		e.tokens -= found.tokens
		delete(e.kept, oldest)
	}
	return true
}

func (e *engine) use(parts []schedule.Part) {
	for _, p := range parts {
		k := e.kept[p.ID]
		if k == nil {
			k = &keptPart{tokens: p.Tokens}
			e.kept[p.ID] = k
			e.tokens += p.Tokens
		}
		e.clock++
		k.used = e.clock
		k.users++
	}
}

// leave ends a running request's use of the engine.
func (e *engine) leave(j *job) {
	i := slices.Index(e.running, j)
	if i < 0 {
		e.waiting = slices.DeleteFunc(e.waiting, func(o *job) bool { return o == j })
		return
	}
	e.running = slices.Delete(e.running, i, i+1)
	e.tokens -= j.request.answer
	for _, p := range j.request.Parts {
		if k := e.kept[p.ID]; k != nil {
			k.users--
		}
	}
}

// crash loses everything and returns the requests that were there.
func (e *engine) crash() []*job {
	all := slices.Concat(e.running, e.waiting)
	e.running, e.waiting, e.kept, e.tokens = nil, nil, map[uint64]*keptPart{}, 0
	e.epoch++
	e.down, e.stepping = true, false
	return all
}

// step reads a chunk and returns how long the step takes and which jobs have a
// token at its end.
func (e *engine) step(slowdown float64) (took time.Duration, produced []*job) {
	ms := e.spec.StepMs
	left := e.spec.ChunkTokens
	for _, j := range e.running {
		if j.unread == 0 {
			ms += e.spec.StepMsPerRun + e.spec.StepMsPerThousand*float64(j.request.PromptTokens+j.made)/1000
			produced = append(produced, j)
			continue
		}
		n := min(left, j.unread)
		if n == 0 {
			continue
		}
		before := j.request.PromptTokens - j.unread
		ms += float64(n)/e.spec.ReadPerMs + e.spec.PairsMs*float64(n)*float64(before)/1e6
		left -= n
		if j.unread -= n; j.unread == 0 {
			produced = append(produced, j)
		}
	}
	took = time.Duration(ms * slowdown * float64(time.Millisecond))
	e.busy += took
	return took, produced
}
