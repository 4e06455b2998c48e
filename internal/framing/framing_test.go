package framing

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against request smuggling: for a request with both Content-Length and
// Transfer-Encoding: chunked, net/http uses the chunks, and what the caller
// sent as the rest of the body would be executed as a separate request.
func TestConflict(t *testing.T) {
	for _, tt := range []struct {
		name   string
		stream string
		want   bool
	}{
		{"no body", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", false},
		{"a length", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n", false},
		{"chunks", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n", false},
		{"chunks with extension and trailer", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\nGET / HTTP/1.1\r\n\r\n", false},
		{"a body that looks like a conflict", "POST / HTTP/1.1\r\nContent-Length: 56\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", false},
		{"length and chunks", "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		{"chunks and length", "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\nCONTENT-LENGTH: 3\r\n\r\n0\r\n\r\n", true},
		{"two lengths", "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", true},
		{"one length twice", "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", true},
		{"chunked twice", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		{"a list of lengths", "POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\nabc", true},
		{"a negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", true},
		{"a conflict in the second request", "GET / HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		{"a chunk without a size", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, step := range []int{1, 3, len(tt.stream)} {
				var s Scanner
				for rest := tt.stream; rest != ""; {
					n := min(step, len(rest))
					s.Scan([]byte(rest[:n]))
					rest = rest[n:]
				}
				if s.Conflict() != tt.want {
					t.Errorf("in steps of %d: conflict %v, want %v", step, s.Conflict(), tt.want)
				}
			}
		})
	}
}

// FuzzScanner compares the scanner with net/http: after every request that
// net/http parses, the scanner has either found a conflict or expects the
// headers of the next request.
func FuzzScanner(f *testing.F) {
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: a\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n")
	f.Fuzz(func(t *testing.T, stream string) {
		r := bufio.NewReader(strings.NewReader(stream))
		var whole bytes.Buffer
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			read := len(stream) - r.Buffered()
			whole.Reset()
			whole.WriteString(stream[:read])
			var s Scanner
			s.Scan(whole.Bytes())
			if !s.Conflict() && s.state != inHead {
				t.Fatalf("after %q the scanner is in state %d", whole.String(), s.state)
			}
		}
	})
}

// Guards against lines and bytes that are not counted, however they come and whatever they
// are part of.
func TestUsage(t *testing.T) {
	for name, tt := range map[string]struct {
		stream   string
		want     Usage
		tooLarge bool
	}{
		"head":                    {stream: "GET / HTTP/1.1\r\na:\r\n\r\n", want: Usage{Lines: 3, Head: 22, Requests: 1}},
		"part of a head":          {stream: "GET / HTTP/1.1\r\na:", want: Usage{Lines: 1, Head: 18}},
		"body":                    {stream: "P / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", want: Usage{Lines: 3, Head: 35, Body: 3, Requests: 1}},
		"two requests":            {stream: "G / HTTP/1.1\r\n\r\nG / HTTP/1.1\r\n\r\n", want: Usage{Lines: 4, Head: 32, Requests: 2}},
		"chunks and trailers":     {stream: "P / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;x\r\nb\r\n0\r\na:b\r\n\r\n", want: Usage{Lines: 5, Head: 51, Body: 11, Requests: 1}},
		"empty lines":             {stream: "\r\n\r\n\r\n", want: Usage{Lines: 3, Head: 6}},
		"after a conflict":        {stream: "P / HTTP/1.1\r\nContent-Length: x\r\na:\r\nb:\r\n", want: Usage{Lines: 4, Head: 41}},
		"head at the limit":       {stream: "G / HTTP/1.1\r\nLong: " + strings.Repeat("l", 76) + "\r\n\r\n", want: Usage{Lines: 3, Head: 100, Requests: 1}},
		"head over the limit":     {stream: "G / HTTP/1.1\r\nLong: " + strings.Repeat("l", 77) + "\r\n\r\n", want: Usage{Lines: 3, Head: 101, Requests: 1}, tooLarge: true},
		"trailers over the limit": {stream: "P / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na:" + strings.Repeat("b", 98) + "\r\n", want: Usage{Lines: 4, Head: 146, Body: 3}, tooLarge: true},
		"trailers at the limit":   {stream: "P / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na:" + strings.Repeat("b", 94) + "\r\n\r\n", want: Usage{Lines: 5, Head: 144, Body: 3, Requests: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, step := range []int{1, 3, len(tt.stream)} {
				s := Scanner{HeadLimit: 100}
				for rest := tt.stream; rest != ""; {
					n := min(step, len(rest))
					s.Scan([]byte(rest[:n]))
					rest = rest[n:]
				}
				if s.Usage() != tt.want || s.HeadTooLarge() != tt.tooLarge {
					t.Errorf("in steps of %d: %+v, too large %v; want %+v, %v", step, s.Usage(), s.HeadTooLarge(), tt.want, tt.tooLarge)
				}
			}
		})
	}
}
