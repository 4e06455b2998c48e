package standin

import (
	"context"
	"fmt"
	"io"
	"log/slog"
)

// DemoOperatorKey opens the operators' API of every site.
const DemoOperatorKey = "operator-key"

// Demo runs a site and tells what can be tried with it.
func Demo(ctx context.Context, out io.Writer, logger *slog.Logger) error {
	s, err := NewSite(ctx, SiteConfig{}, logger)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, demoText, s.Settings[0].CallerAddress, StudioKey, s.Settings[1].CallerAddress, KioskKey,
		s.Settings[2].CallerAddress, s.Settings[0].OperatorAddress, DemoOperatorKey)
	return s.Run(ctx)
}

const demoText = `A small site runs on loopback; Ctrl-C stops it.

A streamed answer:
  curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -H 'Beechhead-Class: summary' -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Break down the script."}]}'

A booking write that runs at most once (repeat it):
  curl -si http://%[3]s/v1/services/booking/slots -H 'Authorization: Bearer %[4]s' -H 'Beechhead-Class: booking' -H 'Idempotency-Key: b-1' -d '{"booth":1}'

Which addresses to use:
  curl -s 'http://%[5]s/v1/addresses?zone=zone-1'

An edit of the table, and how the classes and endpoints do:
  export BEECHHEAD_OPERATOR=http://%[6]s BEECHHEAD_OPERATOR_KEY=%[7]s
  go run ./cmd/beechhead table edit class/counter weight=5
  go run ./cmd/beechhead status

`
