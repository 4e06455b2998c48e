package callerconn

import "encoding/binary"

const (
	// recordHeader is the length in bytes of the header of a TLS record: its type, the
	// version, and the length of what follows (RFC 8446, section 5.1).
	recordHeader = 5
	// applicationData is the type of records with application data.
	applicationData = 23
)

// recordScanner tells the application data of a TLS connection from its handshake.
type recordScanner struct {
	header [recordHeader]byte
	// read is how many bytes of the header have come, left how many of the content are
	// still to come.
	read, left int
}

// scan processes the next bytes of a connection, and returns how many of them may be
// application data.
func (s *recordScanner) scan(p []byte) (data int) {
	for len(p) > 0 {
		if s.left == 0 {
			n := copy(s.header[s.read:], p)
			p = p[n:]
			if s.read += n; s.read == recordHeader {
				s.read, s.left = 0, int(binary.BigEndian.Uint16(s.header[3:]))
			}
			continue
		}
		n := min(len(p), s.left)
		if s.header[0] == applicationData {
			data += n
		}
		p = p[n:]
		s.left -= n
	}
	return data
}
