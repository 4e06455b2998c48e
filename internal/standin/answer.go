package standin

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// chatRequest holds the fields of a chat request that the stand-in reads.
type chatRequest struct {
	Model    string          `json:"model"`
	Priority int             `json:"priority"`
	Messages json.RawMessage `json:"messages"`
	// MaxTokens bounds the answer; zero is unlimited.
	MaxTokens int `json:"max_tokens"`
	// Continue reports whether the last message is the beginning of the answer.
	Continue bool `json:"continue_final_message"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Answer lengths are log-normal, unless the prompt asks for a length.
const (
	medianTokens = 60
	sigmaTokens  = 0.8
	maxTokens    = 2000
)

var wantedLength = regexp.MustCompile(`\[\[tokens=(\d{1,6})\]\]`)

// Answer returns the tokens that the stand-in answers to a prompt, the
// concatenated contents of the request's messages.
func Answer(prompt string) []string {
	seed := xxhash.Sum64String(prompt)
	count := answerLength(prompt, seed)
	tokens := make([]string, count)
	var b []byte
	for i := range tokens {
		b = append(strconv.AppendInt(append(b[:0], 'w'), int64(i), 10), '-')
		b = append(strconv.AppendUint(b, (seed+uint64(i)*0x9e3779b9)&0xfff, 16), ' ')
		tokens[i] = string(b)
	}
	return tokens
}

func answerLength(prompt string, seed uint64) int {
	if m := wantedLength.FindStringSubmatch(prompt); m != nil {
		n, err := strconv.Atoi(m[1])
		if err == nil {
			return n
		}
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	n := medianTokens * math.Exp(sigmaTokens*rng.NormFloat64())
	return min(max(int(n), 1), maxTokens)
}

// prompt returns the contents of the messages, without the beginning of the
// answer.
func (r *chatRequest) prompt() string {
	messages := r.messages()
	if r.Continue && len(messages) > 0 {
		messages = messages[:len(messages)-1]
	}
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

func (r *chatRequest) messages() []chatMessage {
	var messages []chatMessage
	if err := json.Unmarshal(r.Messages, &messages); err != nil {
		return nil
	}
	return messages
}

func (r *chatRequest) promptTokens() int { return len(r.prompt())/bytesPerToken + 1 }

// prefix returns the hash of the beginning of the messages, or zero if they
// are shorter than a prefix.
func (r *chatRequest) prefix() uint64 {
	if len(r.Messages) < prefixBytes {
		return 0
	}
	return xxhash.Sum64(r.Messages[:prefixBytes])
}

// tokens returns the whole answer and how many of its tokens the caller has.
func (r *chatRequest) tokens() (all []string, have int) {
	all = Answer(r.prompt())
	if r.MaxTokens > 0 && len(all) > r.MaxTokens {
		all = all[:r.MaxTokens]
	}
	messages := r.messages()
	if !r.Continue || len(messages) == 0 {
		return all, 0
	}
	text := messages[len(messages)-1].Content
	return all, min(strings.Count(text, " "), len(all))
}

// ChatBody returns a chat request with one message.
func ChatBody(model, prompt string, stream bool) []byte {
	data, err := json.Marshal(map[string]any{
		"model":    model,
		"stream":   stream,
		"messages": []chatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		panic("standin: " + err.Error())
	}
	return data
}
