package facts

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/beechhead/beechhead/internal/membership"
)

// TestReaderSelection runs the cases of testdata/duty.json: the hosts in their
// order, the time since each of them reported a read, and which of them read
// now.
func TestReaderSelection(t *testing.T) {
	data, err := os.ReadFile("testdata/duty.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name    string
		Order   []membership.HostID
		AgoMs   map[membership.HostID]int
		Readers []membership.HostID
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, tt := range cases {
		t.Run(tt.Name, func(t *testing.T) {
			want := map[membership.HostID]bool{}
			for _, id := range tt.Readers {
				want[id] = true
			}
			var heard []time.Duration
			for rank, id := range tt.Order {
				if got := ShouldRead(rank, heard, TakeoverDelay(rank)+1); got != want[id] {
					t.Errorf("%s reads: %v, want %v", id, got, want[id])
				}
				heard = append(heard, time.Duration(tt.AgoMs[id])*time.Millisecond)
			}
		})
	}
}
