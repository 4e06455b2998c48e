package service

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that apply to a single connection (RFC 9110, 7.6.1),
// and Expect, which the daemon has already handled when it read the body.
var hopByHop = []string{
	"Expect",
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the headers without the hop-by-hop ones.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
