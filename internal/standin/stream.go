package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/beechhead/beechhead/internal/engine"
)

// answerStream is one answer while it is made.
type answerStream struct {
	engine *Engine
	w      http.ResponseWriter
	rc     *http.ResponseController
	r      *http.Request
	req    *chatRequest
	id     string
	// before and after surround the text in a token's event, which is encoded
	// once an answer and not once a token.
	before, after []byte
	event         []byte
	timer         *time.Timer
}

func newAnswerStream(e *Engine, w http.ResponseWriter, r *http.Request, req *chatRequest) *answerStream {
	return &answerStream{engine: e, w: w, rc: http.NewResponseController(w), r: r, req: req}
}

// run makes the answer, whose first token comes with the end of the prompt's
// processing; false means that the connection went before its end.
func (s *answerStream) run() bool {
	f := s.engine.currentFaults()
	s.id = s.r.Header.Get(engine.HeaderRequestID)
	if f.WrongID {
		s.id = "other"
	}
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set(engine.HeaderRequestID, s.id)
	s.timer = time.NewTimer(0)
	defer s.timer.Stop()
	if !s.wait(s.prefillTime()) {
		return false
	}
	if f.Garbage {
		_, _ = s.w.Write([]byte("<html>\n"))
		return true
	}
	s.prepareEvent()
	tokens, have := s.req.tokens()
	for i := have; i < len(tokens); i++ {
		if f.CutAfter > 0 && i-have >= f.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if i > have && !s.wait(s.tokenTime()) || !s.token(tokens[i]) {
			return false
		}
	}
	return s.end(len(tokens))
}

// prefillTime is the time to take in the prompt. What is cached of it costs a
// tenth.
func (s *answerStream) prefillTime() time.Duration {
	tokens := float64(s.req.promptTokens())
	if cached := s.engine.prefixes.use(s.req.prefix()); cached {
		s.engine.mu.Lock()
		s.engine.stats.PrefixHits++
		s.engine.mu.Unlock()
		tokens -= 0.9 * min(tokens, prefixBytes/bytesPerToken)
	}
	return time.Duration(tokens * float64(s.engine.speed.PromptToken))
}

func (s *answerStream) tokenTime() time.Duration {
	running, _ := s.engine.slots.counts()
	full := float64(running) / float64(s.engine.speed.Concurrency)
	return time.Duration(float64(s.engine.speed.Token) * (1 + s.engine.speed.Crowding*full))
}

// wait lets the engine's time pass. An engine that goes down meanwhile cuts
// the connection; one that falls silent sends nothing more on it.
func (s *answerStream) wait(d time.Duration) bool {
	f, changed := s.engine.watchFaults()
	if f.Slow > 0 {
		d = time.Duration(float64(d) * f.Slow)
	}
	if d == 0 && !f.Down && !f.Silent {
		return s.r.Context().Err() == nil
	}
	s.timer.Reset(d)
	for {
		switch {
		case f.Down:
			panic(http.ErrAbortHandler)
		case f.Silent:
			<-s.r.Context().Done()
			return false
		}
		select {
		case <-s.timer.C:
			return true
		case <-s.r.Context().Done():
			return false
		case <-changed:
			f, changed = s.engine.watchFaults()
		}
	}
}

// textMark stands for the text while the event is encoded.
const textMark = "~"

func (s *answerStream) prepareEvent() {
	data := s.encode(engine.Chunk{Choices: []engine.Choice{{Delta: engine.Delta{Content: textMark}}}})
	s.before, s.after, _ = bytes.Cut(data, []byte(textMark))
}

func (s *answerStream) token(text string) bool {
	s.engine.made.Add(1)
	s.event = append(s.event[:0], s.before...)
	s.event = append(s.event, text...)
	s.event = append(s.event, s.after...)
	return s.send(s.event)
}

func (s *answerStream) end(tokens int) bool {
	stop := "stop"
	prompt := s.req.promptTokens()
	ok := s.send(s.encode(engine.Chunk{Choices: []engine.Choice{{FinishReason: &stop}}})) &&
		s.send(s.encode(engine.Chunk{
			Choices: []engine.Choice{},
			Usage:   &engine.Usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens},
		}))
	if !ok || s.engine.currentFaults().NoEndMarker {
		return ok
	}
	_, err := fmt.Fprint(s.w, "data: [DONE]\n\n")
	return err == nil
}

// encode returns a chunk as an event.
func (s *answerStream) encode(c engine.Chunk) []byte {
	c.ID = "chatcmpl-" + s.id
	c.Model = s.req.Model
	c.Created = time.Now().Unix()
	data, err := json.Marshal(c)
	if err != nil {
		panic("standin: a chunk always marshals: " + err.Error())
	}
	return fmt.Appendf(nil, "data: %s\n\n", data)
}

func (s *answerStream) send(event []byte) bool {
	if _, err := s.w.Write(event); err != nil {
		return false
	}
	return s.rc.Flush() == nil
}
