package endpointname

import (
	"testing"
	"time"
)

// Guards against names that do not lead back to the registration.
func TestNames(t *testing.T) {
	born := time.Date(2026, 1, 2, 3, 4, 5, 6_000_000, time.UTC)
	for _, id := range []string{"a", "a@b", "@", ""} {
		name := New(id, born.UnixMilli())
		if ID(name) != id || !Start(name).Equal(born) {
			t.Errorf("%q: got ID %q, start %v", name, ID(name), Start(name))
		}
	}
	if name := New("a", 0); ID(name) != "a" || !Start(name).IsZero() {
		t.Errorf("%q: got ID %q, start %v", name, ID(name), Start(name))
	}
	if name := New("a", 1); name == New("a", 2) {
		t.Errorf("two processes are named %q", name)
	}
}
