package client

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/outcome"
)

// ErrTruncated means that a stream ended without its end marker.
var ErrTruncated = errors.New("the answer is cut off")

// Chat is a streamed answer as its caller received it.
type Chat struct {
	Text string
	// FirstToken and Whole are counted from the sending of the request; the
	// first is zero if no token came.
	FirstToken time.Duration
	Whole      time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Tokens counts the events with text.
	Tokens int

	// last is when the newest token came.
	last time.Duration
}

// BetweenTokens returns the mean time between tokens.
func (c *Chat) BetweenTokens() time.Duration {
	if len(c.Gaps) == 0 {
		return 0
	}
	return (c.last - c.FirstToken) / time.Duration(len(c.Gaps))
}

// Chat sends a chat request and reads its answer. What came before an error is
// returned with it.
func (c *Client) Chat(ctx context.Context, r Request) (*Chat, error) {
	return readFrom(func() (*http.Response, error) { return c.Do(ctx, r) })
}

// ChatAt is Chat at one address.
func (c *Client) ChatAt(ctx context.Context, address string, r Request) (*Chat, error) {
	return readFrom(func() (*http.Response, error) { return c.Send(ctx, address, r) })
}

func readFrom(send func() (*http.Response, error)) (*Chat, error) {
	began := time.Now()
	resp, err := send()
	if err != nil {
		return &Chat{Whole: time.Since(began)}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return ReadChat(resp.Body, began)
}

// ReadChat reads a streamed answer.
func ReadChat(body io.Reader, began time.Time) (*Chat, error) {
	chat := &Chat{}
	var text strings.Builder
	err := readEvents(body, func(data []byte) error { return chat.take(data, began, &text) })
	chat.Text = text.String()
	if err == nil {
		chat.Whole = time.Since(began)
	}
	return chat, err
}

// readEvents gives each event's data to take, until the end marker.
func readEvents(body io.Reader, take func(data []byte) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		if err := take([]byte(data)); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return ErrTruncated
}

func (c *Chat) take(data []byte, began time.Time, text *strings.Builder) error {
	var event engine.Chunk
	if err := json.Unmarshal(data, &event); err != nil {
		return err
	}
	if len(event.Error) > 0 {
		var refusal refusalDetail
		if err := json.Unmarshal(event.Error, &refusal); err != nil {
			return err
		}
		return &Refused{Status: http.StatusOK, Reason: refusal.Code, Outcome: outcome.Unknown}
	}
	piece := event.Text()
	if piece == "" {
		return nil
	}
	now := time.Since(began)
	if c.Tokens == 0 {
		c.FirstToken = now
	} else {
		c.Gaps = append(c.Gaps, now-c.last)
	}
	c.last = now
	c.Tokens++
	text.WriteString(piece)
	return nil
}
