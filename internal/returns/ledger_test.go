package returns

import (
	"testing"
	"time"
)

// Callers that share a fingerprint are counted: as many return on time as were refused.
func TestLedgerCountsCallers(t *testing.T) {
	const due = 2 * time.Second
	var l Ledger
	for range 2 {
		l.Refuse(7, time.Second, due, time.Second)
	}
	for i, want := range []struct {
		at   time.Duration
		kind Kind
	}{{due / 2, Early}, {due, OnTime}, {due, OnTime}, {due, First}} {
		if v := l.Arrive(7, want.at); v.Kind != want.kind {
			t.Errorf("arrival %d is of kind %d, want %d", i, v.Kind, want.kind)
		}
	}
}

// Guards against a ledger that grows with the callers that never return.
func TestLedgerIsBounded(t *testing.T) {
	var l Ledger
	for f := range Fingerprint(2 * maxRecords) {
		l.Refuse(f+1, 0, time.Second, 0)
	}
	if l.Len() > maxRecords {
		t.Errorf("the ledger holds %d fingerprints, want at most %d", l.Len(), maxRecords)
	}
	late := time.Second + keepTime + time.Second
	l.Refuse(1, late, late+time.Second, late)
	if l.Len() != 1 {
		t.Errorf("the ledger holds %d fingerprints long after their time, want 1", l.Len())
	}
}
