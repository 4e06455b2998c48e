package daemon

import (
	"context"

	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/pkg/table"
)

func (d *Daemon) onPushTable(ctx context.Context, req *peerv1.PushTableRequest) *peerv1.PushTableResponse {
	hosts := d.spreader.Told(ctx, req.GetAddress(), table.Version(req.GetVersion()))
	return &peerv1.PushTableResponse{Version: uint64(d.keeper.Version()), Hosts: hosts}
}

func (d *Daemon) onFetchTable(req *peerv1.FetchTableRequest) *peerv1.FetchTableResponse {
	f := d.keeper.Newer(table.Version(req.GetNewerThan()), req.GetWhole())
	return &peerv1.FetchTableResponse{Version: uint64(f.Version), Table: f.Data, Patches: f.Patches, Checksum: f.Sum}
}
