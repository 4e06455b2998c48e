//go:build crowd

package crowd

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
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
	client   *http.Client
	scheme   string
}

// startOwnSite starts a site, with TLS for callers if a certificate is given.
func startOwnSite(t *testing.T, callerTLS *settings.TLS) *ownSite {
	t.Helper()
	site, err := standin.NewSite(context.Background(), standin.SiteConfig{Daemons: 1}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	cfg := *site.Settings[0]
	cfg.OperatorKey = settings.Secret{Environment: operatorKeyVariable}
	cfg.CallerTLS = callerTLS
	s := &ownSite{settings: &cfg, scheme: "http"}
	if callerTLS != nil {
		s.scheme = "https"
	}
	s.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: anyCertificate}}
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.scheme+"://"+s.settings.CallerAddress+"/v1/chat/completions", strings.NewReader(chatBody))
	if err != nil {
		return 0, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+standin.StudioKey)
	resp, err := s.client.Do(req)
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
		"bodies a byte short":          {crowd: crowd{clients: 100, rounds: 2, play: partly(text(ownHead(length)+"\r\n"), func(string) []byte { return body })}},
		"tiny lines without end":       {crowd: crowd{clients: 100, rounds: 2, play: without(text(ownHead()), manyTiny)}},
		"tiny lines, no end":           {crowd: crowd{clients: clients, rounds: 2, play: partly(text(ownHead() + tinyLines(ownMaxHead-1024)))}},
		"tiny lines, body short":       {crowd: crowd{clients: clients, rounds: 2, play: partly(text(ownHead("Content-Length: 2") + tinyLines(ownMaxHead-2048) + "\r\nb"))}},
		"tiny lines, whole requests":   {crowd: crowd{clients: clients, rounds: 1, play: whole(5, text(ownHead("Content-Length: 1")+tinyLines(ownMaxHead-2048)+"\r\nb"))}},
		"whole bodies":                 {crowd: crowd{clients: 50, rounds: 1, play: whole(1, func(string) []byte { return append([]byte(ownHead(length)+"\r\n"), append(body, 'b')...) })}},
		"connections that are silent":  {crowd: crowd{clients: idleClients, rounds: 2, play: func(*client) {}}},
		"operators, silent":            {operators: true, crowd: crowd{clients: idleClients, rounds: 2, play: func(*client) {}}},
		"operators, lines without end": {operators: true, crowd: crowd{clients: 100, rounds: 2, play: without(text("GET /v1/table HTTP/1.1\r\nHost: a\r\n"), manyTiny)}},
	} {
		t.Run(name, func(t *testing.T) {
			s := startOwnSite(t, nil)
			address := s.settings.CallerAddress
			if tt.operators {
				address = s.settings.OperatorAddress
			}
			s.play(t, tt.crowd, address)
		})
	}
}

// play plays a crowd; an ordinary caller must be answered while it is there and afterwards.
func (s *ownSite) play(t *testing.T, c crowd, address string) {
	t.Helper()
	end := c.start(t, address)
	defer end()
	s.checkOrdinary(t)
	end()
	s.checkOrdinary(t)
	s.checkBounds(t)
}

// anyCertificate accepts that of the test.
var anyCertificate = &tls.Config{InsecureSkipVerify: true} //nolint:gosec // the test's own daemon

// writeCertificate writes a certificate for loopback and its key.
func writeCertificate(t *testing.T) *settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return &settings.TLS{Certificate: write("certificate", "CERTIFICATE", certificate), Key: write("key", "PRIVATE KEY", private)}
}

// Guards against crowds whose requests are not seen, since their bytes are encrypted.
func TestCrowdsOfOwnAPIWithTLS(t *testing.T) {
	length := fmt.Sprintf("Content-Length: %d", ownMaxBody)
	body := bytes.Repeat([]byte("b"), ownMaxBody)
	for name, c := range map[string]crowd{
		"bodies a byte short":         {clients: 100, rounds: 2, play: partly(text(ownHead(length)+"\r\n"), func(string) []byte { return body[1:] })},
		"whole bodies":                {clients: 50, rounds: 1, play: whole(1, func(string) []byte { return append([]byte(ownHead(length)+"\r\n"), body...) })},
		"tiny lines without end":      {clients: 100, rounds: 2, play: without(text(ownHead()), manyTiny)},
		"tiny lines, no end":          {clients: clients, rounds: 2, play: partly(text(ownHead() + tinyLines(ownMaxHead-1024)))},
		"tiny lines, body short":      {clients: clients, rounds: 2, play: partly(text(ownHead("Content-Length: 2") + tinyLines(ownMaxHead-2048) + "\r\nb"))},
		"connections that are silent": {clients: idleClients, rounds: 1, play: func(*client) {}},
	} {
		t.Run(name, func(t *testing.T) {
			s := startOwnSite(t, writeCertificate(t))
			c.tls = anyCertificate
			s.play(t, c, s.settings.CallerAddress)
		})
	}
}

// Guards against limits that refuse a request at those of the daemon's own API: one that is
// alone is served.
func TestRequestsAtTheLimitsOfOwnAPI(t *testing.T) {
	s := startOwnSite(t, nil)
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
