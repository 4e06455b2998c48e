package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// Guards against a list of a batch that is lost when the batch is merged with another
// one: a list that is added to the protocol must be merged as well.
func TestMergedBatchesKeepTheirLists(t *testing.T) {
	for _, tt := range []struct {
		batch proto.Message
		merge func(a, b proto.Message) proto.Message
	}{
		{&peerv1.ReservationsRequest{}, func(a, b proto.Message) proto.Message {
			return mergeRequests([]*peerv1.ReservationsRequest{a.(*peerv1.ReservationsRequest), b.(*peerv1.ReservationsRequest)})
		}},
		{&peerv1.ReservationsResponse{}, func(a, b proto.Message) proto.Message {
			return mergeResponses([]*peerv1.ReservationsResponse{a.(*peerv1.ReservationsResponse), b.(*peerv1.ReservationsResponse)})
		}},
	} {
		merged := tt.merge(withLists(tt.batch), withLists(tt.batch)).ProtoReflect()
		for field := range lists(merged.Descriptor()) {
			if n := merged.Get(field).List().Len(); n != 2 {
				t.Errorf("%s: %d of 2 %s were kept", merged.Descriptor().Name(), n, field.Name())
			}
		}
	}
}

// withLists returns a batch with one element in each list.
func withLists(like proto.Message) proto.Message {
	m := like.ProtoReflect().New()
	for field := range lists(m.Descriptor()) {
		list := m.Mutable(field).List()
		list.Append(list.NewElement())
	}
	return m.Interface()
}

func lists(m protoreflect.MessageDescriptor) func(yield func(protoreflect.FieldDescriptor) bool) {
	return func(yield func(protoreflect.FieldDescriptor) bool) {
		for i := range m.Fields().Len() {
			if field := m.Fields().Get(i); field.IsList() && !yield(field) {
				return
			}
		}
	}
}
