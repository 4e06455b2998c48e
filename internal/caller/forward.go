package caller

import (
	"net/http"
	"slices"
	"strings"
)

// serviceTarget returns the service's name and the rest of the request target,
// byte for byte as the caller sent it. If no path follows the name, the path is
// "/", since HTTP has no empty path.
func serviceTarget(r *http.Request) (name, target string) {
	_, rest, _ := strings.Cut(r.RequestURI, servicesPath)
	end := strings.IndexAny(rest, "/?")
	switch {
	case end < 0:
		return rest, "/"
	case rest[end] == '?':
		return rest[:end], "/" + rest[end:]
	}
	return rest[:end], rest[end:]
}

// headerPrefix is the prefix of the headers between callers and this system.
const headerPrefix = "Beechhead-"

// forwardedHeaders returns the headers that are forwarded to a service. The
// caller's API key and class are only for this system.
func forwardedHeaders(h http.Header) http.Header {
	out := withoutOwnHeaders(h)
	out.Del("Authorization")
	// net/http has already handled the expectation.
	out.Del("Expect")
	return out
}

// withoutOwnHeaders returns a copy of the headers without this system's own.
func withoutOwnHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(http.CanonicalHeaderKey(name), headerPrefix) {
			out[name] = slices.Clone(values)
		}
	}
	return out
}
