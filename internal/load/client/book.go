// Package client is a caller as the load commands play it: it asks the daemons
// which addresses to use, connects there itself, and checks that each answer
// is whole and its own.
package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const askTimeout = time.Second

// Book holds the addresses that one caller knows. It is safe for concurrent
// use.
type Book struct {
	http *http.Client
	zone string

	mu sync.Mutex
	// addresses is the newest answer, best first; never empty.
	addresses []string
	// expires is when the answer must be asked for anew.
	expires time.Time
	asking  bool
}

// NewBook returns a book that knows the given addresses and nothing of how
// long they are good.
func NewBook(h *http.Client, zone string, addresses []string) *Book {
	return &Book{http: h, zone: zone, addresses: slices.Clone(addresses)}
}

// Addresses returns the addresses to try, in order. An answer past its
// lifetime is renewed first; if nobody answers, the old one is kept.
func (b *Book) Addresses(ctx context.Context) []string {
	b.mu.Lock()
	known := b.addresses
	due := time.Now().After(b.expires) && !b.asking
	b.asking = b.asking || due
	b.mu.Unlock()
	if !due {
		return known
	}
	return b.renew(ctx, known)
}

// Distrust makes the next request ask anew, after an address failed.
func (b *Book) Distrust() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expires = time.Time{}
}

func (b *Book) renew(ctx context.Context, known []string) []string {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for _, address := range known {
		list, err := b.ask(ctx, address)
		if err != nil || len(list.Addresses) == 0 {
			continue
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		b.asking = false
		b.addresses = list.Addresses
		b.expires = time.Now().Add(time.Duration(list.LifetimeSeconds) * time.Second)
		return b.addresses
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asking = false
	return known
}

// addressList is the daemons' answer.
type addressList struct {
	Addresses       []string `json:"addresses"`
	LifetimeSeconds int      `json:"lifetimeSeconds"`
}

func (b *Book) ask(ctx context.Context, address string) (list addressList, err error) {
	target := url.URL{Scheme: "http", Host: address, Path: "/v1/addresses", RawQuery: url.Values{"zone": {b.zone}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return list, err
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return list, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return list, errors.Errorf("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&list)
	return list, err
}
