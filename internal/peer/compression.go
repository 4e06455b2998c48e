package peer

import (
	"compress/gzip"
	"io"

	"connectrpc.com/connect"
)

// compression is the name of the encoding of long messages.
const compression = "gzip"

// compressMinBytes is the minimum size of a message that is compressed: tables and
// long lists of hosts or endpoints. For shorter messages it does not pay off.
const compressMinBytes = 4096

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }

// newCompressor returns a compressor that prefers speed, since a host sends a list
// to many others while a fleet starts.
func newCompressor() connect.Compressor {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		// The level is valid.
		return gzip.NewWriter(io.Discard)
	}
	return w
}
