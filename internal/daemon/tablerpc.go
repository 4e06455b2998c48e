package daemon

import (
	"context"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/pkg/table"
)

func (d *Daemon) onPushTable(ctx context.Context, req *peerv1.PushTableRequest) *peerv1.PushTableResponse {
	hosts := d.propagator.HandleNotification(ctx, req.GetAddress(), table.Version(req.GetVersion()))
	return &peerv1.PushTableResponse{Version: uint64(d.replica.Version()), Hosts: hosts}
}

func (d *Daemon) onFetchTable(req *peerv1.FetchTableRequest) *peerv1.FetchTableResponse {
	f := d.replica.UpdateFor(table.Version(req.GetNewerThan()), req.GetWhole())
	return &peerv1.FetchTableResponse{Version: uint64(f.Version), Table: f.Data, Patches: f.Patches, Checksum: f.Checksum}
}
