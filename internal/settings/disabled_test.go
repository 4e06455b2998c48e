package settings

import (
	"strings"
	"testing"

	"github.com/beechhead/beechhead/internal/schedule"
)

// A misspelt mechanism would leave an operator measuring nothing.
func TestUnknownMechanismIsAFault(t *testing.T) {
	c := &checker{}
	s := &Settings{Disabled: []schedule.Mechanism{schedule.Headroom, "wings"}}
	s.checkPolicy(c)
	if len(c.faults) != 1 || !strings.Contains(c.faults[0].Path, "disabled[1]") {
		t.Errorf("faults: %v", c.faults)
	}
}
