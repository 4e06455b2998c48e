package load

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/load/client"
	"github.com/beechhead/beechhead/internal/load/report"
	"github.com/beechhead/beechhead/internal/standin"
	"github.com/beechhead/beechhead/pkg/table"
)

// chatCommand sends chat requests open-loop.
type chatCommand struct {
	Address  string        `long:"address" required:"true" description:"Caller address of a daemon"`
	Key      string        `long:"key" default:"studio-key" description:"API key"`
	Class    string        `long:"class" default:"slots" description:"Class of the requests"`
	Rate     float64       `long:"rate" default:"20" description:"Requests per second"`
	Tokens   int           `long:"tokens" default:"20" description:"Tokens per answer"`
	Duration time.Duration `long:"duration" default:"5s" description:"How long to send"`
}

// Execute sends the requests and prints the results.
func (c *chatCommand) Execute([]string) error {
	caller := client.New("", []string{c.Address})
	class := report.NewClass(table.ClassName(c.Class), table.Target{})
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.Rate))
	defer ticker.Stop()
	for i := range int(c.Rate * c.Duration.Seconds()) {
		<-ticker.C
		wg.Go(func() {
			prompt := fmt.Sprintf("request %d [[tokens=%d]]", i, c.Tokens)
			class.Add(chat(context.Background(), caller, prompt, client.Request{Key: c.Key, Class: c.Class}))
		})
	}
	wg.Wait()
	s := class.Summary(c.Duration)
	fmt.Printf("sent %d, right %d, wrong %d, refused %d, failed %d, first token p50 %.1fms p99 %.1fms\n",
		s.Offered, s.Met, s.Wrong, s.RefusedTotal(), s.Failed, s.FirstToken.P50, s.FirstToken.P99)
	return nil
}

// chat sends one chat request and checks its answer.
func chat(ctx context.Context, c *client.Client, prompt string, r client.Request) *report.Sample {
	r.Path = engine.PathChat
	r.Body = standin.ChatBody(string(standin.SampleModel), prompt, true)
	began := time.Now()
	answer, err := c.Chat(ctx, r)
	s := &report.Sample{
		FirstToken:    answer.FirstToken,
		BetweenTokens: answer.BetweenTokens(),
		Gaps:          answer.Gaps,
		Took:          time.Since(began),
		Tokens:        answer.Tokens,
	}
	s.Result, s.Reason = resultOf(ctx, err)
	if s.Result == report.Whole && answer.Text != strings.Join(standin.Answer(prompt), "") {
		s.Result = report.Wrong
	}
	return s
}
