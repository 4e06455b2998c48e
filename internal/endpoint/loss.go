package endpoint

import (
	"net"
	"syscall"
	"time"
)

// lossCheckInterval is the interval at which a connection is checked for the loss of
// its peer.
const lossCheckInterval = 500 * time.Millisecond

// WatchLoss closes a connection whose peer acknowledges nothing for the given time. It
// does so in place of the user timeout, which also counts the time for which the peer
// acknowledges but accepts no more data, as the machine of a stopped process does. stop
// leaves the user timeout off: data that is sent after the connection was closed may be
// accepted late as well.
func WatchLoss(c net.Conn, timeout time.Duration) (stop func()) {
	raw, ok := rawConn(c)
	if !ok || SetUserTimeout(raw, 0) != nil {
		return func() {}
	}
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		if watchLoss(raw, timeout, done) {
			_ = c.Close()
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

func rawConn(c net.Conn) (syscall.RawConn, bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := sc.SyscallConn()
	return raw, err == nil
}

// watchLoss returns true when the peer is lost, false when done is closed or the
// connection can't be checked.
func watchLoss(raw syscall.RawConn, timeout time.Duration, done <-chan struct{}) bool {
	ticker := time.NewTicker(lossCheckInterval)
	defer ticker.Stop()
	d := lossDetector{limit: int(timeout / lossCheckInterval)}
	for {
		select {
		case <-done:
			return false
		case <-ticker.C:
		}
		awaited, since, err := acknowledgement(raw)
		if err != nil {
			return false
		}
		if d.isLost(awaited, since) {
			return true
		}
	}
}

// lossDetector counts the checks in a row in which an acknowledgement was awaited and
// none had come since the check before. Time in which this process or its machine stood
// still counts as one check.
type lossDetector struct{ missed, limit int }

// isLost records a check and reports whether the peer is lost. The acknowledgements of
// probes of a full receive window may be further apart than the limit; none is awaited
// in between.
func (d *lossDetector) isLost(awaited bool, since time.Duration) bool {
	if !awaited || since < lossCheckInterval {
		d.missed = 0
		return false
	}
	d.missed++
	return d.missed >= d.limit
}
