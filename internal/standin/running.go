package standin

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// readyTimeout bounds the start of a site. It is long, since it only ends
	// the wait for a daemon that will never be ready.
	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// StartSite starts a site with all its daemons. The function stop ends it and
// waits for its end.
func StartSite(cfg SiteConfig, logger *slog.Logger) (s *Site, stop func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	s, err = NewSite(ctx, cfg, logger)
	if err != nil {
		cancel()
		return nil, nil, errors.Wrap(err, "start site")
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Run(ctx)
	}()
	return s, func() { cancel(); <-ended }, nil
}

// WaitReady waits until every daemon is ready; operators are served without
// TLS.
func (s *Site) WaitReady() error {
	for _, cfg := range s.Settings {
		if err := WaitReady(http.DefaultClient, "http://"+cfg.OperatorAddress); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until the daemon whose operators' URL is given is ready.
func WaitReady(client *http.Client, url string) error {
	deadline := time.Now().Add(readyTimeout)
	for !IsReady(client, url) {
		if time.Now().After(deadline) {
			return errors.Errorf("%s is not ready after %s", url, readyTimeout)
		}
		time.Sleep(readyPoll)
	}
	return nil
}

// IsReady reports whether a daemon says that it is ready.
func IsReady(client *http.Client, url string) bool {
	resp, err := client.Get(url + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
