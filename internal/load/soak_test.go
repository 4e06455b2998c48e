package load

import (
	"strings"
	"testing"

	"github.com/beechhead/beechhead/internal/soak"
)

// Guards against passing over more than the listed promise of a listed seed.
func TestKnownRed(t *testing.T) {
	c := &soakCommand{KnownRed: []string{"7:lost path", "8:drain", "7:recovery"}}
	for _, tt := range []struct {
		name   string
		seed   uint64
		broken []soak.Violation
		want   bool
	}{
		{"the listed promise", 7, []soak.Violation{{Promise: "lost path"}, {Promise: "lost path"}}, true},
		{"both listed promises", 7, []soak.Violation{{Promise: "lost path"}, {Promise: "recovery"}}, true},
		{"another promise", 7, []soak.Violation{{Promise: "drain"}}, false},
		{"another promise, too", 7, []soak.Violation{{Promise: "lost path"}, {Promise: "drain"}}, false},
		{"another seed", 9, []soak.Violation{{Promise: "lost path"}}, false},
	} {
		if got := c.isKnownRed(tt.seed, tt.broken); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against an output whose end does not say which promises were broken.
func TestBrokenPromisesAreRepeatedAtTheEnd(t *testing.T) {
	var b brokenSeeds
	var out strings.Builder
	b.add(3, nil)
	if err := b.report(&out); err != nil || out.Len() > 0 {
		t.Errorf("all kept: %v, %q", err, out.String())
	}
	b.add(7, []soak.Violation{{Promise: "drain", What: "reached"}})
	if err := b.report(&out); err == nil {
		t.Error("a broken promise is no error")
	}
	if want := "broken:\n  seed 7: drain: reached\n"; out.String() != want {
		t.Errorf("%q, want %q", out.String(), want)
	}
}
