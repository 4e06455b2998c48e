package endpoint

import (
	"io"
	"net"

	"github.com/go-faster/errors"
)

// EndError returns the error of a read from a connection, with an io.EOF for the end of a
// connection that was reset replaced. Linux reports a reset once: if the goroutine that
// writes gets the error, the one that reads gets an io.EOF.
func EndError(c net.Conn, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if raw, ok := rawConn(c); ok && isClosed(raw) {
		return io.ErrUnexpectedEOF
	}
	return err
}
