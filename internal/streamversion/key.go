package streamversion

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/beechhead/beechhead/pkg/table"
)

// Key identifies a stream.
type Key [16]byte

// KeyOf returns the key of the stream that a request has begun. Account and pool are
// part of it, so that no caller can continue a stream of another account, and none is
// continued by another pool.
func KeyOf(account table.AccountName, pool table.Pool, requestID string) (k Key) {
	h := sha256.New()
	for _, text := range []string{string(account), string(pool), requestID} {
		// Without length prefixes, different fields could give the same bytes.
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(text))))
		_, _ = h.Write([]byte(text))
	}
	copy(k[:], h.Sum(nil))
	return k
}

// hash returns a number that differs between streams.
func (k Key) hash() uint64 { return binary.LittleEndian.Uint64(k[:]) }
