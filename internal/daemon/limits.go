package daemon

import (
	"context"

	"github.com/beechhead/beechhead/internal/limit"
	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

// acquireSlices requests slices from the owner of some limits, which may be
// this daemon.
func (d *Daemon) acquireSlices(ctx context.Context, owner membership.Host, holder limit.Holder, wants []limit.SliceRequest) ([]int, bool) {
	if owner.ID == d.view.Self().ID {
		return d.limitOwner.Grant(holder, wants)
	}
	resp, err := d.peers.Client(owner.PeerAddress).AcquireSlices(ctx, slicesRequest(holder, wants))
	if err != nil || resp.GetNotOwner() {
		return nil, false
	}
	granted := make([]int, 0, len(wants))
	for _, n := range resp.GetGranted() {
		granted = append(granted, int(n))
	}
	return granted, true
}

func slicesRequest(holder limit.Holder, wants []limit.SliceRequest) *peerv1.AcquireSlicesRequest {
	req := &peerv1.AcquireSlicesRequest{
		Host:        string(holder.Host),
		Incarnation: holder.Incarnation,
		Sequence:    holder.Sequence,
	}
	for _, w := range wants {
		req.Wants = append(req.Wants, &peerv1.SliceWant{
			Limit:   w.Key.String(),
			Wanted:  uint32(w.Wanted),
			InUse:   uint32(w.InUse),
			Holding: uint32(w.Holding),
		})
	}
	return req
}

// onAcquireSlices handles a request for slices from another daemon.
func (d *Daemon) onAcquireSlices(req *peerv1.AcquireSlicesRequest) *peerv1.AcquireSlicesResponse {
	holder := limit.Holder{
		Host:        membership.HostID(req.GetHost()),
		Incarnation: req.GetIncarnation(),
		Sequence:    req.GetSequence(),
	}
	var wants []limit.SliceRequest
	for _, w := range req.GetWants() {
		key, ok := limit.ParseKey(w.GetLimit())
		if !ok {
			return &peerv1.AcquireSlicesResponse{NotOwner: true}
		}
		wants = append(wants, limit.SliceRequest{
			Key:     key,
			Wanted:  int(w.GetWanted()),
			InUse:   int(w.GetInUse()),
			Holding: int(w.GetHolding()),
		})
	}
	granted, ok := d.limitOwner.Grant(holder, wants)
	resp := &peerv1.AcquireSlicesResponse{NotOwner: !ok}
	for _, n := range granted {
		resp.Granted = append(resp.Granted, uint32(n))
	}
	return resp
}
