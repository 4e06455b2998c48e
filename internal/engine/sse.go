package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/responseroom"
)

// maxEventSize bounds an event of a stream, in bytes.
const maxEventSize = 1 << 20

// ErrMalformed means that the response is not a valid event stream.
var ErrMalformed = errors.New("the engine's stream is malformed")

// eventReader reads server-sent events that have data fields. Lines end in LF
// or CRLF. A line that is not a valid field is an error, because the response
// then does not come from an engine.
type eventReader struct {
	scanner *bufio.Scanner
	// data is the event read last.
	data []byte
	// started is set once the first line was read.
	started bool
	// hasRoom reports whether there is room for so many bytes without an event; nil if there
	// always is. unread are the bytes that were read since the last event, most is the largest
	// number of them: the buffers do not shrink.
	hasRoom      func(size int) bool
	unread, most int
	source       io.Reader
}

// Read reads from the response for the scanner.
func (r *eventReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if r.unread += n; r.unread > r.most && r.hasRoom != nil {
		if r.most = r.unread; !r.hasRoom(r.most) {
			return 0, errors.Wrap(ErrMalformed, responseroom.ErrNoRoom.Error())
		}
	}
	return n, err
}

// maxWithoutData bounds the lines without data between two events, in bytes.
const maxWithoutData = maxEventSize

func newEventReader(r io.Reader) *eventReader {
	events := &eventReader{source: r}
	events.scanner = bufio.NewScanner(events)
	events.scanner.Buffer(make([]byte, 0, 4096), maxEventSize)
	events.scanner.Split(scanCompleteLines)
	return events
}

// scanCompleteLines splits like bufio.ScanLines, but returns an error for a
// last line without a line ending, which is truncated by the loss of the
// connection.
func scanCompleteLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if atEOF && len(data) > 0 && bytes.IndexByte(data, '\n') < 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return bufio.ScanLines(data, atEOF)
}

var (
	byteOrderMark = []byte("\ufeff")
	dataField     = []byte("data")
	// otherFields are ignored. Comments have the empty field name.
	otherFields = [][]byte{[]byte(""), []byte("event"), []byte("id"), []byte("retry")}
)

// next returns the data of the next event, which is valid until the next call.
// It returns io.EOF if the stream ends between events.
func (r *eventReader) next() ([]byte, error) {
	r.data = r.data[:0]
	read := 0
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if read += len(line) + 1; read-len(r.data) > maxWithoutData {
			return nil, errors.Wrap(ErrMalformed, "no event within the bound")
		}
		if !r.started {
			r.started = true
			line = bytes.TrimPrefix(line, byteOrderMark)
		}
		if len(line) > 0 {
			if err := r.parseLine(line); err != nil {
				return nil, err
			}
			continue
		}
		if len(r.data) > 0 {
			r.unread = 0
			// Each data line has added a line feed to the buffer.
			return r.data[:len(r.data)-1], nil
		}
	}
	return nil, r.endError()
}

// endError returns the reason why there are no more events.
func (r *eventReader) endError() error {
	err := r.scanner.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return errors.Wrap(ErrMalformed, "a line beyond the bound")
	case err != nil:
		return err
	case len(r.data) > 0:
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// parseLine parses a line that is not empty.
func (r *eventReader) parseLine(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if bytes.Equal(name, dataField) {
		value = bytes.TrimPrefix(value, []byte(" "))
		if len(r.data)+len(value) >= maxEventSize {
			return errors.Wrap(ErrMalformed, "an event beyond the bound")
		}
		r.data = append(r.data, value...)
		r.data = append(r.data, '\n')
		return nil
	}
	for _, other := range otherFields {
		if bytes.Equal(name, other) {
			return nil
		}
	}
	return errors.Wrapf(ErrMalformed, "line of %d bytes", len(line))
}
