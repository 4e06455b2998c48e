// Package caller serves the API for client accounts: an OpenAI-compatible API,
// the plain services, and the list of addresses.
package caller

import (
	"crypto/tls"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/beechhead/beechhead/internal/attainment"
	"github.com/beechhead/beechhead/internal/callerconn"
	"github.com/beechhead/beechhead/internal/claim"
	"github.com/beechhead/beechhead/internal/dispatch"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/metric"
	"github.com/beechhead/beechhead/internal/tablesync"
)

// Headers of the API.
const (
	HeaderClass          = "Beechhead-Class"
	HeaderRequestID      = "Beechhead-Request-Id"
	HeaderHost           = "Beechhead-Host"
	HeaderOutcome        = "Beechhead-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks the stored response of an earlier execution.
	HeaderReplayed = "Beechhead-Replayed"
)

// Limits for callers that send too much or too slowly.
const (
	maxBody = 8 << 20
	// maxHeader bounds the headers, in bytes. net/http's own limit is higher,
	// so that the refusal can have the same format as all others; beyond that
	// limit, net/http responds with a plain 431 and closes the connection.
	maxHeader     = 32 << 10
	maxHeaderRead = 4 * maxHeader
	// maxStreams bounds the requests at once on a connection with HTTP/2.
	maxStreams        = 32
	maxIdempotencyKey = 255
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Defaults of a Server's limits.
const (
	DefaultBodyTimeout  = 30 * time.Second
	DefaultStallTimeout = 30 * time.Second
	DefaultMaxRequests  = 20_000
)

// Server serves callers. All exported fields must be set before it serves.
type Server struct {
	Logger     *slog.Logger
	Keeper     *tablesync.Replica
	View       *membership.View
	Dispatcher *dispatch.Dispatcher
	Claims     *claim.Store
	Metrics    *metric.Registry
	Attainment *attainment.Recorder
	// BodyTimeout bounds the time for receiving a request body.
	BodyTimeout time.Duration
	// StallTimeout bounds the time for which a caller may receive nothing of a
	// stream, and the time for receiving the whole of any other response.
	StallTimeout time.Duration
	// MaxRequests bounds the requests in progress on this host.
	MaxRequests int64

	accounts accountIndex
	// inProgress counts the requests in progress.
	inProgress atomic.Int64
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	s.Keeper.Watch(s.accounts.update)
	e := echo.NewWithConfig(echo.Config{Logger: s.Logger, HTTPErrorHandler: s.handleError})
	e.Pre(s.identify)
	e.POST("/v1/chat/completions", s.chat, s.admit)
	e.Any("/v1/services/:service", s.call, s.admit)
	e.Any("/v1/services/:service/*", s.call, s.admit)
	e.GET("/v1/models", s.models, s.admit)
	e.GET("/v1/addresses", s.addresses)
	return e
}

// Costs is how much a request makes a daemon hold: a chat is parsed, so that there are
// several copies of its body.
var Costs = callerconn.Costs{Line: 256, Head: 3, Body: 4}

// HeadLimit returns the bound on the head of a request, in bytes, beyond which no refusal
// in the format of the others is sent.
func HeadLimit() int64 { return maxHeaderRead }

// NewHTTPServer returns a server with limits for slow and oversized requests, for
// connections of a callerconn.Listener. It uses TLS if tlsConfig is not nil.
func NewHTTPServer(handler http.Handler, tlsConfig *tls.Config) *http.Server {
	return &http.Server{
		Handler:           handler,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderRead,
		ConnContext:       callerconn.WithConn,
		ConnState:         callerconn.OnState,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int64 { return s.inProgress.Load() }
