package callerconn

import (
	"io"

	"github.com/go-faster/errors"
)

const (
	// firstBody is the size of the first buffer for a body, whatever its length: a length
	// may be claimed of which nothing comes.
	firstBody = 4 << 10
	// bodyGrowth is the factor by which the buffer grows.
	bodyGrowth = 2
)

// ReadBody reads a body of the given length, or of one that is not known if that is negative.
// The buffer is never larger than twice what has come, nor than the length. A body that is
// longer than limit is cut one byte after it; a limit of zero is none.
func ReadBody(r io.Reader, length, limit int64) (body []byte, err error) {
	most := length
	if limit > 0 {
		r = io.LimitReader(r, limit+1)
		if most < 0 || most > limit {
			most = limit + 1
		}
	}
	size := int64(firstBody)
	if most >= 0 {
		size = min(size, most)
	}
	body = make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if body, err = grow(r, body, most); err != nil {
				return body, ignoreEOF(err)
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return body, ignoreEOF(err)
		}
	}
}

// grow returns a larger buffer, if there is more to read.
func grow(r io.Reader, body []byte, most int64) ([]byte, error) {
	var next [1]byte
	if _, err := io.ReadFull(r, next[:]); err != nil {
		return body, err
	}
	size := int64(max(cap(body)*bodyGrowth, 1))
	if most >= 0 && int64(len(body)) < most {
		size = min(size, most)
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	return append(larger, next[0]), nil
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}
