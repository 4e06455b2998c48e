package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/engine"
	"github.com/beechhead/beechhead/internal/load/client"
	"github.com/beechhead/beechhead/internal/standin"
)

// speedCommand measures what the daemons themselves cost. The daemons and the
// stand-ins run as processes of their own: see experiments/speed.sh.
type speedCommand struct {
	Latency latencyCommand `command:"latency" description:"Added latency of the daemons over a direct call, side by side"`
	Tokens  tokensCommand  `command:"tokens" description:"Streamed tokens per second through the daemons"`
	Idle    idleCommand    `command:"idle" description:"Memory of a daemon with many idle open streams"`
}

// speedOptions are common to all measurements.
type speedOptions struct {
	Addresses []string      `long:"address" required:"true" description:"Callers' address of a daemon; can be given several times"`
	Key       string        `long:"key" default:"studio-key" description:"API key"`
	Duration  time.Duration `long:"duration" default:"10s" description:"How long to measure"`
}

func (o *speedOptions) request(tokens, i int) client.Request {
	prompt := fmt.Sprintf("request %d [[tokens=%d]]", i, tokens)
	return client.Request{
		Path:  engine.PathChat,
		Body:  standin.ChatBody(string(standin.SampleModel), prompt, true),
		Key:   o.Key,
		Class: string(standin.MeasuredClass),
	}
}

// latencyCommand sends the same requests to the daemons and to engines.
type latencyCommand struct {
	speedOptions
	Engines []string `long:"engine" required:"true" description:"URL of an engine; can be given several times"`
	Rate    int      `long:"rate" default:"1000" description:"Requests per second, to the daemons and to the engines each"`
	Tokens  int      `long:"tokens" default:"8" description:"Tokens per answer"`
	Warmup  int      `long:"warmup" default:"2" description:"Seconds before the measurement"`
}

// timings are the histograms of one way.
type timings struct {
	mu           sync.Mutex
	first, whole *hdrhistogram.Histogram
	failed       int
}

func newTimings() *timings {
	return &timings{first: hdrhistogram.New(1, maxTimingUs, 3), whole: hdrhistogram.New(1, maxTimingUs, 3)}
}

const maxTimingUs = 60_000_000

func (t *timings) add(chat *client.Chat, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.failed++
		return
	}
	_ = t.first.RecordValue(chat.FirstToken.Microseconds())
	_ = t.whole.RecordValue(chat.Whole.Microseconds())
}

// Execute measures and prints.
func (c *latencyCommand) Execute([]string) error {
	direct, through := newTimings(), newTimings()
	var wg sync.WaitGroup
	viaDaemon, viaEngine := fixedClients(c.Addresses), fixedClients(c.Engines)
	warmup := c.Warmup * c.Rate
	total := warmup + int(c.Duration.Seconds()*float64(c.Rate))
	start := time.Now()
	for i := range total {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(c.Rate))))
		send := func(to []*fixedClient, t *timings) {
			wg.Go(func() {
				chat, err := to[i%len(to)].chat(context.Background(), c.request(c.Tokens, i))
				if i >= warmup {
					t.add(chat, err)
				}
			})
		}
		send(viaDaemon, through)
		send(viaEngine, direct)
	}
	wg.Wait()
	fmt.Printf("%d requests/s over %d daemons for %s, and as many to the engines\n", c.Rate, len(c.Addresses), c.Duration)
	printTimings("first token", through.first, direct.first)
	printTimings("whole answer", through.whole, direct.whole)
	fmt.Printf("failed: through the daemons %d, direct %d\n", through.failed, direct.failed)
	return nil
}

func printTimings(what string, through, direct *hdrhistogram.Histogram) {
	for _, q := range []float64{50, 99} {
		a, b := through.ValueAtQuantile(q), direct.ValueAtQuantile(q)
		fmt.Printf("%s p%.0f: through %.2fms, direct %.2fms, added %.2fms\n", what, q, float64(a)/1000, float64(b)/1000, float64(a-b)/1000)
	}
}

// tokensCommand streams long answers as fast as they come.
type tokensCommand struct {
	speedOptions
	Streams int `long:"streams" default:"200" description:"Streams at once"`
	Tokens  int `long:"tokens" default:"2000" description:"Tokens per answer"`
	PID     int `long:"pid" description:"Process of the daemon, to report its CPU"`
}

// Execute measures and prints.
func (c *tokensCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration)
	defer cancel()
	clients := fixedClients(c.Addresses)
	counts := make([]streamCount, c.Streams)
	before := processCPU(c.PID)
	var wg sync.WaitGroup
	began := time.Now()
	for i := range counts {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				counts[i].run(ctx, clients[i%len(clients)], c.request(c.Tokens, n*c.Streams+i), c.Tokens)
			}
		})
	}
	wg.Wait()
	took := time.Since(began)
	var sum streamCount
	for i := range counts {
		sum.tokens += counts[i].tokens
		sum.failed += counts[i].failed
		sum.short += counts[i].short
	}
	fmt.Printf("%d streams for %.1fs: %.0f tokens/s, failed %d, of a wrong length %d\n",
		c.Streams, took.Seconds(), float64(sum.tokens)/took.Seconds(), sum.failed, sum.short)
	if c.PID != 0 {
		fmt.Printf("daemon: %.2f cores\n", (processCPU(c.PID)-before).Seconds()/took.Seconds())
	}
	return nil
}

// idleCommand opens streams that send one token and then nothing.
type idleCommand struct {
	speedOptions
	Streams int `long:"streams" default:"9500" description:"Streams to open"`
	Rate    int `long:"rate" default:"2000" description:"Streams to open per second"`
	PID     int `long:"pid" required:"true" description:"Process of the daemon, to report its memory"`
}

// Execute measures and prints.
func (c *idleCommand) Execute([]string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients := fixedClients(c.Addresses)
	before, err := processMemory(c.PID)
	if err != nil {
		return err
	}
	opened := make(chan error, c.Streams)
	for i := range c.Streams {
		go func() { opened <- clients[i%len(clients)].open(ctx, c.request(1000, i)) }()
		time.Sleep(time.Second / time.Duration(c.Rate))
	}
	failed := 0
	for range c.Streams {
		if err := <-opened; err != nil {
			failed++
		}
	}
	time.Sleep(c.Duration)
	after, err := processMemory(c.PID)
	if err != nil {
		return err
	}
	open := c.Streams - failed
	if open == 0 {
		return errors.New("no stream could be opened")
	}
	fmt.Printf("%d streams open, %d failed: the daemon takes %.0f MB, %.0f MB before, %.1f KB a stream\n",
		open, failed, after.megabytes(), before.megabytes(), float64(after-before)/float64(open)/1000)
	return nil
}
