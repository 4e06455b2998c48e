package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// FuzzMergeRequests checks that merging two arbitrary batches of a peer loses no
// message and keeps their order.
func FuzzMergeRequests(f *testing.F) {
	f.Add(encodeSeed(f, &peerv1.ReservationsRequest{Reserves: []*peerv1.Reserve{{Sequence: 1, Cell: "a"}}}),
		encodeSeed(f, &peerv1.ReservationsRequest{Releases: []*peerv1.Release{{Sequence: 1}}, Cancels: []uint64{2}}))
	f.Add([]byte{0x0a, 0x00}, []byte{0xff})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		var a, b peerv1.ReservationsRequest
		if proto.Unmarshal(first, &a) != nil || proto.Unmarshal(second, &b) != nil {
			return
		}
		merged := mergeRequests([]*peerv1.ReservationsRequest{proto.CloneOf(&a), proto.CloneOf(&b)})
		checkConcatenated(t, a.GetReserves(), b.GetReserves(), merged.GetReserves())
		checkConcatenated(t, a.GetReleases(), b.GetReleases(), merged.GetReleases())
		if len(merged.GetCancels()) != len(a.GetCancels())+len(b.GetCancels()) {
			t.Fatalf("got %d cancels, want %d", len(merged.GetCancels()), len(a.GetCancels())+len(b.GetCancels()))
		}
	})
}

// FuzzMergeResponses checks the same for batches of responses.
func FuzzMergeResponses(f *testing.F) {
	f.Add(encodeSeed(f, &peerv1.ReservationsResponse{Grants: []*peerv1.Grant{{Sequence: 1, Endpoint: "e"}}}),
		encodeSeed(f, &peerv1.ReservationsResponse{Refusals: []*peerv1.Refusal{{Sequence: 1}}, Preempts: []uint64{2}}))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		var a, b peerv1.ReservationsResponse
		if proto.Unmarshal(first, &a) != nil || proto.Unmarshal(second, &b) != nil {
			return
		}
		merged := mergeResponses([]*peerv1.ReservationsResponse{proto.CloneOf(&a), proto.CloneOf(&b)})
		checkConcatenated(t, a.GetGrants(), b.GetGrants(), merged.GetGrants())
		checkConcatenated(t, a.GetRefusals(), b.GetRefusals(), merged.GetRefusals())
		if len(merged.GetPreempts()) != len(a.GetPreempts())+len(b.GetPreempts()) {
			t.Fatalf("got %d preempts, want %d", len(merged.GetPreempts()), len(a.GetPreempts())+len(b.GetPreempts()))
		}
	})
}

func encodeSeed(f *testing.F, m proto.Message) []byte {
	f.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}
	return data
}

// checkConcatenated checks that merged has the messages of first, then of second.
func checkConcatenated[M proto.Message](t *testing.T, first, second, merged []M) {
	t.Helper()
	if len(merged) != len(first)+len(second) {
		t.Fatalf("%d and %d messages were merged into %d", len(first), len(second), len(merged))
	}
	for i, m := range merged {
		want := second
		at := i - len(first)
		if at < 0 {
			want, at = first, i
		}
		if !proto.Equal(m, want[at]) {
			t.Fatalf("item %d is %v, want %v", i, m, want[at])
		}
	}
}
