package load

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/load/client"
	"github.com/beechhead/beechhead/internal/load/report"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/internal/standin"
)

// resultOf sorts an error of the client.
func resultOf(ctx context.Context, err error) (report.Result, outcome.Reason) {
	if err == nil {
		return report.Whole, ""
	}
	if ctx.Err() != nil {
		return report.Unfinished, ""
	}
	if refused, ok := errors.Into[*client.Refused](err); ok {
		return report.Refused, refused.Reason
	}
	return report.Failed, ""
}

// call sends one keyed call to the plain service and checks its answer, which
// counts as one token. It reports whether the daemons said that the call did not
// run.
func call(ctx context.Context, c *client.Client, body string, r client.Request) (s *report.Sample, notRun bool) {
	r.Path = "/v1/services/" + string(standin.SampleService) + "/slots"
	r.Body = []byte(body)
	r.IdempotencyKey = body
	began := time.Now()
	text, err := readAll(ctx, c, r)
	took := time.Since(began)
	s = &report.Sample{FirstToken: took, Took: took, Tokens: 1}
	s.Result, s.Reason = resultOf(ctx, err)
	if s.Result == report.Whole && !echoes(text, body) {
		s.Result = report.Wrong
	}
	refused, ok := errors.Into[*client.Refused](err)
	return s, ok && refused.Outcome == outcome.NotRun
}

func readAll(ctx context.Context, c *client.Client, r client.Request) ([]byte, error) {
	resp, err := c.Do(ctx, r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(resp.Body)
}

// echoes reports whether the service's answer is the one to that body.
func echoes(text []byte, body string) bool {
	var answer struct {
		Body string `json:"body"`
	}
	return json.Unmarshal(text, &answer) == nil && answer.Body == body
}
