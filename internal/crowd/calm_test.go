//go:build crowd

package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// exchange sends a request in parts with pauses between them, and returns the status of the
// response.
func exchange(t *testing.T, c net.Conn, r *bufio.Reader, pause time.Duration, parts ...string) (status int) {
	t.Helper()
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(c, part); err != nil {
			t.Fatalf("send part %d of %d: %v", i+1, len(parts), err)
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatalf("read response: %v", err)
	}
	return resp.StatusCode
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

// split returns a text in n parts.
func split(text string, n int) (parts []string) {
	for i := range n {
		parts = append(parts, text[i*len(text)/n:(i+1)*len(text)/n])
	}
	return parts
}

// Guards against limits that refuse a request at those of the configuration: one that is
// alone is served.
func TestRequestsAtTheLimits(t *testing.T) {
	const large = 128 << 10
	for _, size := range []int{maxHeaderBytes, large} {
		s := startSite(t, siteOptions{limits: map[string]any{"max-header-bytes": size}})
		long := head("look", "long", "Content-Length: 1")
		long += "Long: " + strings.Repeat("l", size-len(long)-len("Long: \r\n\r\n")) + "\r\n\r\nb"
		parts := promptParts("parts", 1)
		for name, request := range map[string]string{
			"head of tiny lines":   tinyHead(size, "tiny") + "b",
			"head of one line":     long,
			"id":                   head("pay", "id"+strings.Repeat("i", size-1024), "Content-Length: 1") + "\r\nb",
			"parts of a prompt":    string(parts),
			"body":                 head("pay", "body", fmt.Sprintf("Content-Length: %d", maxBodyBytes)) + "\r\n" + string(longBody),
			"body in one chunk":    head("pay", "chunk", "Transfer-Encoding: chunked") + "\r\n" + string(chunk()) + "b\r\n0\r\n\r\n",
			"body in small chunks": head("pay", "chunks", "Transfer-Encoding: chunked") + "\r\n" + strings.Repeat("10\r\n0123456789abcdef\r\n", maxBodyBytes/16) + "0\r\n\r\n",
		} {
			t.Run(fmt.Sprintf("%s, heads of %d KiB", name, size>>10), func(t *testing.T) {
				c, r := dial(t, s.callers)
				if status := exchange(t, c, r, 0, request); status != http.StatusOK {
					t.Errorf("status %d", status)
				}
			})
		}
		s.checkBounds(t)
	}
}

// Guards against times that are shorter than those of the configuration.
func TestSlowRequestsWithinTheLimits(t *testing.T) {
	const idle, header = 5 * time.Second, 5 * time.Second
	s := startSite(t, siteOptions{limits: map[string]any{"idle-timeout-ms": idle.Milliseconds(), "header-timeout-ms": header.Milliseconds()}})
	c, r := dial(t, s.callers)
	slowly := split(head("look", "slow", "Content-Length: 1")+"\r\nb", 10)
	if status := exchange(t, c, r, header*4/5/10, slowly...); status != http.StatusOK {
		t.Errorf("status %d of a request with a slow head", status)
	}
	time.Sleep(idle * 4 / 5)
	if status := exchange(t, c, r, 0, head("look", "again", "Content-Length: 1")+"\r\nb"); status != http.StatusOK {
		t.Errorf("status %d of a request on a connection that was idle", status)
	}
}

// Guards against heads that exceed the limit of the configuration, and refusals of them that
// callers do not get.
func TestHeadsOverTheLimit(t *testing.T) {
	s := startSite(t, siteOptions{limits: map[string]any{"max-header-bytes": 4 << 10}})
	for _, size := range []int{4<<10 + 1, 8 << 10, 256 << 10} {
		c, r := dial(t, s.callers)
		if status := exchange(t, c, r, 0, tinyHead(size, "large")); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("status %d of a head of %d bytes", status, size)
		}
	}
	s.checkOrdinary(t, "look")
}
