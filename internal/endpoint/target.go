package endpoint

import (
	"net/url"
	"strings"
)

// preserveTarget makes a request carry the path and query of a URL byte for
// byte. net/url re-encodes some characters, such as '|', and cuts at '#'. A
// service that signs or compares its paths would see another one than its
// caller sent.
func preserveTarget(u *url.URL, rawURL string) {
	_, rest, _ := strings.Cut(rawURL, "://")
	_, target, found := strings.Cut(rest, "/")
	target = "/" + target
	// A target that begins with two slashes would be parsed as a host.
	if !found || target == u.RequestURI() || strings.HasPrefix(target, "//") {
		return
	}
	u.Opaque = target
	u.RawQuery = ""
	u.ForceQuery = false
	u.Fragment = ""
}
