package load

import (
	"bytes"
	"context"
	"io"
	"strings"

	"github.com/beechhead/beechhead/internal/load/client"
)

// fixedClient calls one address, which may be a daemon's or an engine's.
type fixedClient struct {
	*client.Client
	address string
}

func fixedClients(addresses []string) []*fixedClient {
	var all []*fixedClient
	for _, address := range addresses {
		address = strings.TrimPrefix(address, "http://")
		all = append(all, &fixedClient{Client: client.New("", []string{address}), address: address})
	}
	return all
}

func (f *fixedClient) chat(ctx context.Context, r client.Request) (*client.Chat, error) {
	return f.ChatAt(ctx, f.address, r)
}

// open sends a request and reads its first bytes. The stream stays open until
// ctx ends.
func (f *fixedClient) open(ctx context.Context, r client.Request) error {
	resp, err := f.Send(ctx, f.address, r)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = resp.Body.Close() })
	_, err = io.ReadFull(resp.Body, make([]byte, 1))
	return err
}

// streamCount counts what came over streams.
type streamCount struct {
	tokens int
	failed int
	// short counts answers that ended with another number of tokens.
	short int
}

// tokenMark occurs once in each event with a token.
var tokenMark = []byte(`"content":"w`)

// run reads one answer, and counts without decoding, so that the measurement
// costs little beside what is measured.
func (s *streamCount) run(ctx context.Context, f *fixedClient, r client.Request, want int) {
	resp, err := f.Send(ctx, f.address, r)
	if err != nil {
		if ctx.Err() == nil {
			s.failed++
		}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	buf := make([]byte, 64<<10)
	kept, tokens := 0, 0
	defer func() { s.tokens += tokens }()
	for {
		n, err := resp.Body.Read(buf[kept:])
		data := buf[:kept+n]
		tokens += bytes.Count(data, tokenMark)
		kept = copy(buf, data[max(0, len(data)-len(tokenMark)+1):])
		switch {
		case err == nil || ctx.Err() != nil:
		case err != io.EOF:
			s.failed++
		case tokens != want:
			s.short++
		}
		if err != nil {
			return
		}
	}
}
