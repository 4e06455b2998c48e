package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/beechhead/beechhead/pkg/table"
)

// Fingerprint identifies a request as its caller repeats it: each repeat has
// another id and may come to another daemon.
type Fingerprint uint64

// String returns the fingerprint as it stands in the log.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// FingerprintOf returns the fingerprint of what a client account asks for.
// The account is part of it, so that no caller can bring about a fingerprint
// of another's request.
func FingerprintOf(account table.AccountName, method, host, target string, body []byte) Fingerprint {
	head := make([]byte, 0, headSize)
	for _, text := range []string{string(account), method, host, target} {
		// The length keeps two lists of texts from giving the same bytes.
		head = binary.AppendUvarint(head, uint64(len(text)))
		head = append(head, text...)
	}
	h := sha256.New()
	_, _ = h.Write(head)
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(sum[:0])))
}

// headSize holds what is hashed besides the body, in bytes; more is allocated.
const headSize = 256
