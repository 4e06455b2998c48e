package responseroom

import (
	"io"

	"github.com/go-faster/errors"
)

// ErrNoRoom reports that there is no room for the rest of a response.
var ErrNoRoom = errors.New("no room for the response")

// firstSize is the size of the first buffer for a response.
const firstSize = 1 << 10

// ReadAll reads until the end of a response, or until most bytes were read. The error is
// ErrNoRoom if there is no room for more; what was read is then returned as well, and nothing
// has been read that is not.
func (h *Holding) ReadAll(r io.Reader, most int) (data []byte, err error) {
	data = make([]byte, 0, min(firstSize, most))
	for len(data) < most {
		if len(data) == cap(data) {
			size := min(2*cap(data), most)
			if !h.Resize(size) {
				return data, ErrNoRoom
			}
			larger := make([]byte, len(data), size)
			copy(larger, data)
			data = larger
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
	return data, nil
}

// Append appends to a buffer. It reports false, and appends nothing, if there is no room.
func (h *Holding) Append(data, p []byte) ([]byte, bool) {
	if need := len(data) + len(p); need > cap(data) {
		size := max(need, 2*cap(data), firstSize)
		if !h.Resize(size) {
			return data, false
		}
		larger := make([]byte, len(data), size)
		copy(larger, data)
		data = larger
	}
	return append(data, p...), true
}

// Discard removes the first n bytes of a buffer. A large buffer that is hardly used any more
// is replaced.
func (h *Holding) Discard(data []byte, n int) []byte {
	rest := data[n:]
	if cap(data) > freeSize && len(rest) <= firstSize {
		h.Resize(firstSize)
		return append(make([]byte, 0, firstSize), rest...)
	}
	return append(data[:0], rest...)
}
