package heartbeat

import (
	"math"
	"time"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
)

func toInfo(n membership.Update) *peerv1.HostInfo {
	h := n.Host
	return &peerv1.HostInfo{
		Host:          string(h.ID),
		Incarnation:   h.Incarnation,
		Sequence:      h.Sequence,
		State:         peerv1.HostState(h.State),
		Region:        h.Region,
		Zone:          h.Zone,
		CallerAddress: h.CallerAddress,
		PeerAddress:   h.PeerAddress,
		Load:          h.Load,
		TableVersion:  h.TableVersion,
		Status:        peerv1.HostStatus(n.Status),
		Capacity:      h.Capacity,
	}
}

func toInfos(updates []membership.Update) []*peerv1.HostInfo {
	infos := make([]*peerv1.HostInfo, 0, len(updates))
	for _, n := range updates {
		infos = append(infos, toInfo(n))
	}
	return infos
}

func fromInfo(i *peerv1.HostInfo) membership.Update {
	return membership.Update{
		Status: membership.Status(i.GetStatus()),
		Host: membership.Host{
			ID:            membership.HostID(i.GetHost()),
			Incarnation:   i.GetIncarnation(),
			Sequence:      i.GetSequence(),
			State:         membership.State(i.GetState()),
			Region:        i.GetRegion(),
			Zone:          i.GetZone(),
			CallerAddress: i.GetCallerAddress(),
			PeerAddress:   i.GetPeerAddress(),
			Load:          i.GetLoad(),
			TableVersion:  i.GetTableVersion(),
			Capacity:      i.GetCapacity(),
		},
	}
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d/time.Millisecond, 0), math.MaxUint32))
}

func toUint64s(versions []membership.Version) []uint64 {
	numbers := make([]uint64, 0, len(versions))
	for _, one := range versions {
		numbers = append(numbers, uint64(one))
	}
	return numbers
}

func fromUint64s(numbers []uint64) []membership.Version {
	versions := make([]membership.Version, 0, len(numbers))
	for _, n := range numbers {
		versions = append(versions, membership.Version(n))
	}
	return versions
}
