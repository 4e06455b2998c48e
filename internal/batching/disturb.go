package batching

import "time"

// A stream beside which prompts are read all the time crawls: each of its
// steps takes a chunk of a prompt as well. Its first token is in time, but a
// pause between two events exceeds what was promised, and the whole answer is
// late. So streams with short pauses and prompts that take long to read are
// kept apart, each by the cost of what the other does to it.

const (
	// unhurriedPause is from which pause on a class does not suffer, and
	// hurriedPause up to which it suffers fully.
	unhurriedPause = 400 * time.Millisecond
	hurriedPause   = 200 * time.Millisecond
	// longStream is from how many tokens on a stream suffers fully. A short
	// one is over before much is read beside it.
	longStream = 150
	// disturbedTime is how much backlog such a stream rather finds than an
	// engine that reads all the time.
	disturbedTime = 400 * time.Millisecond
	// plainPrompt is the prompt in tokens whose reading disturbs by as much as
	// it takes. The chunks of a longer one take longer each, since attention
	// grows with what was read before, and it is those that make a pause too
	// long; a short one is over within an event. mostDisturbing bounds it.
	plainPrompt    = 10_000
	mostDisturbing = 3
	// disturbShare is by how much a prompt's cost grows for each such stream
	// beside which it is read.
	disturbShare = 0.1
)

// sensitivity returns how much a request's stream suffers from what is read
// beside it, from 0 to 1.
func (q *Class) sensitivity(r *Prompt) float64 {
	if q.Pause == 0 || q.Pause >= unhurriedPause {
		return 0
	}
	hurry := min(1, float64(unhurriedPause-q.Pause)/float64(unhurriedPause-hurriedPause))
	return hurry * min(1, float64(r.Answer)/longStream)
}

// disturbance returns by how much more than its reading takes a prompt
// disturbs the streams beside which it is read.
func disturbance(promptTokens int) float64 {
	return min(mostDisturbing, float64(promptTokens)/plainPrompt)
}
