// Package peer implements the transport of the protocol between daemons with
// connect-go. The messages are generated from proto/beechhead/peer/v1.
package peer

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Timeouts of the connections between daemons.
const (
	dialTimeout = time.Second
	// After pingIdleTime without a frame, a ping is sent, and after pingTimeout
	// without a response the connection is closed. This detects connections that
	// deliver nothing because a router or firewall has lost their state, while
	// new connections work. Heartbeats keep a connection busier than that.
	pingIdleTime = 2 * time.Second
	pingTimeout  = time.Second
	// serverPingIdleTime is longer, so that normally the client sends the pings,
	// and the server does so only if the client's host has failed.
	serverPingIdleTime = 3 * time.Second
	// idleTimeout closes connections to daemons with which this one no longer
	// exchanges heartbeats, since keeping them would cost pings.
	idleTimeout = 10 * time.Second
)

// maxHeader bounds the head of a request of another daemon, in bytes.
const maxHeader = 16 << 10

// NewTransport returns an HTTP/2 transport to other daemons. It uses no TLS if
// tlsConfig is nil.
func NewTransport(tlsConfig *tls.Config) *http.Transport {
	var protocols http.Protocols
	if tlsConfig == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	return &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig: tlsConfig,
		Protocols:       &protocols,
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
	}
}

// NewHTTPServer returns an HTTP/2 server that detects connections that deliver
// nothing in the same way. It uses no TLS if tlsConfig is nil.
func NewHTTPServer(handler http.Handler, tlsConfig *tls.Config) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP2(tlsConfig != nil)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	return &http.Server{
		Handler:           handler,
		TLSConfig:         tlsConfig,
		Protocols:         &protocols,
		ReadHeaderTimeout: pingTimeout,
		MaxHeaderBytes:    maxHeader,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: serverPingIdleTime, PingTimeout: pingTimeout},
	}
}
