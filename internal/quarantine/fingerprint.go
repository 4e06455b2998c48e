package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/beechhead/beechhead/pkg/table"
)

// Fingerprint identifies a request across the repeats by its caller. Each
// repeat has another request id and may be received by another daemon.
type Fingerprint uint64

// String returns the fingerprint in the format used in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// FingerprintOf returns the fingerprint of a request of a client account. The
// account is part of it, so that no client can produce the fingerprint of
// another account's request.
func FingerprintOf(account table.AccountName, method, host, target string, body []byte) Fingerprint {
	head := make([]byte, 0, headSize)
	for _, text := range []string{string(account), method, host, target} {
		// Without length prefixes, different fields could give the same bytes.
		head = binary.AppendUvarint(head, uint64(len(text)))
		head = append(head, text...)
	}
	h := sha256.New()
	_, _ = h.Write(head)
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(sum[:0])))
}

// headSize is the initial capacity, in bytes, for what is hashed besides the
// body. It grows if needed.
const headSize = 256
