package peer

import (
	"context"
	"sync"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// streams holds the open reservations streams of other daemons. The zero value is
// empty.
type streams struct {
	mu      sync.Mutex
	lastID  uint64
	cancels map[streamKey]map[uint64]context.CancelFunc
}

type streamKey struct {
	host        string
	incarnation uint64
}

// open adds a stream. The returned context is cancelled when the stream is dropped,
// and the returned function must be called when the stream has ended.
func (s *streams) open(ctx context.Context, hello *peerv1.Hello) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	key := streamKey{hello.GetHost(), hello.GetIncarnation()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancels == nil {
		s.cancels = map[streamKey]map[uint64]context.CancelFunc{}
	}
	if s.cancels[key] == nil {
		s.cancels[key] = map[uint64]context.CancelFunc{}
	}
	s.lastID++
	id := s.lastID
	s.cancels[key][id] = cancel
	return ctx, func() { s.close(key, id) }
}

func (s *streams) close(key streamKey, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.cancels[key][id]; cancel != nil {
		cancel()
	}
	delete(s.cancels[key], id)
	if len(s.cancels[key]) == 0 {
		delete(s.cancels, key)
	}
}

func (s *streams) drop(key streamKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancel := range s.cancels[key] {
		cancel()
	}
}
