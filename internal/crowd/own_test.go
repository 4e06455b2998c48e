//go:build crowd

package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/caller"
	"github.com/beechhead/beechhead/internal/settings"
	"github.com/beechhead/beechhead/internal/standin"
)

const (
	operatorKeyVariable = "CROWD_OPERATOR_KEY"
	// ownMaxBody is the largest body that the daemon's own API takes.
	ownMaxBody = 8 << 20
	// ownMaxHead is the largest head.
	ownMaxHead = 32 << 10
)

// ownSite is a daemon with its own API as a process, before the stand-ins of a platform, of
// engines and of a service.
type ownSite struct {
	*process
	settings *settings.Settings
}

func startOwnSite(t *testing.T) *ownSite {
	t.Helper()
	site, err := standin.NewSite(context.Background(), standin.SiteConfig{Daemons: 1}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	cfg := *site.Settings[0]
	cfg.OperatorKey = settings.Secret{Environment: operatorKeyVariable}
	s := &ownSite{settings: &cfg}
	s.process = startProcess(t, &cfg, operatorKeyVariable+"="+standin.DemoOperatorKey, fmt.Sprintf("GOMEMLIMIT=%dMiB", memoryMB))
	for range 600 {
		if status, err := s.ordinary(); err == nil && status == http.StatusOK {
			return s
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("the daemon is not ready")
	return nil
}

const chatBody = `{"model":"assistant","messages":[{"role":"user","content":"hello"}]}`

// ordinary sends an ordinary chat.
func (s *ownSite) ordinary() (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.settings.CallerAddress+"/v1/chat/completions", strings.NewReader(chatBody))
	if err != nil {
		return 0, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+standin.StudioKey)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func (s *ownSite) checkOrdinary(t *testing.T) {
	t.Helper()
	var last string
	for range ordinaryAttempts {
		status, err := s.ordinary()
		if err == nil && status == http.StatusOK {
			return
		}
		last = fmt.Sprintf("status %d, %v", status, err)
		time.Sleep(200 * time.Millisecond)
	}
	t.Errorf("an ordinary caller is not answered in %d attempts, the last: %s", ordinaryAttempts, last)
}

// ownHead returns the beginning of a call to the plain service.
func ownHead(more ...string) string {
	lines := append([]string{
		"POST /v1/services/" + string(standin.SampleService) + "/x HTTP/1.1", "Host: a",
		"Authorization: Bearer " + standin.StudioKey, caller.HeaderClass + ": booking",
	}, more...)
	return strings.Join(lines, "\r\n") + "\r\n"
}

// Guards against a daemon with its own API that holds whatever clients send.
func TestCrowdsOfOwnAPI(t *testing.T) {
	length := fmt.Sprintf("Content-Length: %d", ownMaxBody)
	body := bytes.Repeat([]byte("b"), ownMaxBody-1)
	for name, tt := range map[string]struct {
		crowd
		operators bool
	}{
		"bodies a byte short":          {crowd: crowd{100, 2, partly(text(ownHead(length)+"\r\n"), func(string) []byte { return body })}},
		"tiny lines without end":       {crowd: crowd{100, 2, without(text(ownHead()), manyTiny)}},
		"tiny lines, no end":           {crowd: crowd{clients, 2, partly(text(ownHead() + tinyLines(ownMaxHead-1024)))}},
		"tiny lines, body short":       {crowd: crowd{clients, 2, partly(text(ownHead("Content-Length: 2") + tinyLines(ownMaxHead-2048) + "\r\nb"))}},
		"tiny lines, whole requests":   {crowd: crowd{clients, 1, whole(5, text(ownHead("Content-Length: 1")+tinyLines(ownMaxHead-2048)+"\r\nb"))}},
		"whole bodies":                 {crowd: crowd{50, 1, whole(1, func(string) []byte { return append([]byte(ownHead(length)+"\r\n"), append(body, 'b')...) })}},
		"connections that are silent":  {crowd: crowd{idleClients, 2, func(*client) {}}},
		"operators, silent":            {operators: true, crowd: crowd{idleClients, 2, func(*client) {}}},
		"operators, lines without end": {operators: true, crowd: crowd{100, 2, without(text("GET /v1/table HTTP/1.1\r\nHost: a\r\n"), manyTiny)}},
	} {
		t.Run(name, func(t *testing.T) {
			s := startOwnSite(t)
			address := s.settings.CallerAddress
			if tt.operators {
				address = s.settings.OperatorAddress
			}
			end := tt.start(t, address)
			defer end()
			s.checkOrdinary(t)
			end()
			s.checkOrdinary(t)
			s.checkBounds(t)
		})
	}
}

// Guards against limits that refuse a request at those of the daemon's own API: one that is
// alone is served.
func TestRequestsAtTheLimitsOfOwnAPI(t *testing.T) {
	s := startOwnSite(t)
	for name, request := range map[string][]byte{
		"body": append([]byte(ownHead(fmt.Sprintf("Content-Length: %d", ownMaxBody))+"\r\n"), bytes.Repeat([]byte("b"), ownMaxBody)...),
		"head": []byte(ownHead("Content-Length: 1") + tinyLines(ownMaxHead-4096) + "\r\nb"),
	} {
		c, r := dial(t, s.settings.CallerAddress)
		if status := exchange(t, c, r, 0, string(request)); status != http.StatusOK {
			t.Errorf("%s: status %d", name, status)
		}
	}
	s.checkBounds(t)
}
