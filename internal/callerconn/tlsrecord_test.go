package callerconn

import "testing"

// Guards against a handshake that is taken for the head of a request, and the other way
// round.
func TestRecordScanner(t *testing.T) {
	stream := "\x16\x03\x01\x00\x04hell" + "\x14\x03\x03\x00\x01c" + "\x17\x03\x03\x00\x05GET /" + "\x17\x03\x03\x00\x00" + "\x17\x03\x03\x00\x03abc"
	for step := 1; step <= len(stream); step++ {
		var s recordScanner
		data := 0
		for rest := stream; rest != ""; {
			n := min(step, len(rest))
			data += s.scan([]byte(rest[:n]))
			rest = rest[n:]
		}
		if data != 8 {
			t.Errorf("in steps of %d: %d bytes of application data, want 8", step, data)
		}
	}
}
