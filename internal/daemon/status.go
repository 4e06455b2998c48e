package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/beechhead/beechhead/internal/cell"
	"github.com/beechhead/beechhead/internal/peer/peerv1"
	"github.com/beechhead/beechhead/internal/schedule"
	"github.com/beechhead/beechhead/internal/status"
	"github.com/beechhead/beechhead/pkg/table"
)

// statusTimeout is the maximum wait for the status of the other daemons.
const statusTimeout = 2 * time.Second

// ownStatus returns the status of this daemon.
func (d *Daemon) ownStatus() *status.Daemon {
	s := &status.Daemon{
		Host:         string(d.view.Self().ID),
		TableVersion: d.replica.Version(),
		Classes:      d.attainment.Status(),
		Queues:       status.Queues{},
		Endpoints:    []status.Endpoint{},
	}
	for _, one := range d.coordinator.Status().Cells {
		addCell(s, &one)
	}
	return s
}

// addCell adds the status of a cell that this daemon coordinates.
func addCell(s *status.Daemon, one *cell.StatusEntry) {
	for _, cl := range one.Classes {
		queue := s.Queues[table.ClassName(cl.Class)]
		queue.Add(status.Queue{
			Waiting:      cl.Waiting,
			Granted:      cl.Granted,
			Aged:         cl.Aged,
			Preempted:    cl.Preempted,
			OldestWaitMS: cl.OldestWaitMS,
		})
		s.Queues[table.ClassName(cl.Class)] = queue
	}
	for _, e := range one.Endpoints {
		s.Endpoints = append(s.Endpoints, status.Endpoint{
			Name:              table.EndpointName(e.Endpoint),
			Cell:              string(one.Cell),
			State:             endpointState(&e),
			Reason:            string(e.Ejected),
			Running:           e.Running,
			Concurrency:       e.Concurrency,
			Foreign:           e.Foreign,
			OutstandingTokens: e.OutstandingTokens,
			Coordinator:       s.Host,
		})
	}
}

func endpointState(e *schedule.EndpointStatus) status.EndpointState {
	switch {
	case e.Draining:
		return status.EndpointDraining
	case e.Ejected != "":
		return status.EndpointEjected
	}
	return status.EndpointReady
}

func (d *Daemon) onStatus(context.Context) *peerv1.StatusResponse {
	data, err := json.Marshal(d.ownStatus())
	if err != nil {
		d.logger.Error("status not encoded", "error", err)
	}
	return &peerv1.StatusResponse{Status: data}
}

// siteStatus requests the status of all hosts in the membership view and
// combines it.
func (d *Daemon) siteStatus(ctx context.Context) *status.Site {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	self := d.view.Self()
	all := []*status.Daemon{d.ownStatus()}
	var silent []string
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, h := range d.view.Hosts().All() {
		if h.ID == self.ID {
			continue
		}
		wg.Go(func() {
			one, err := d.peerStatus(ctx, h.PeerAddress)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, string(h.ID))
				return
			}
			all = append(all, one)
		})
	}
	wg.Wait()
	return status.Sum(all, silent)
}

func (d *Daemon) peerStatus(ctx context.Context, address string) (*status.Daemon, error) {
	resp, err := d.peers.Client(address).Status(ctx)
	if err != nil {
		return nil, err
	}
	var s status.Daemon
	if err := json.Unmarshal(resp.GetStatus(), &s); err != nil {
		return nil, err
	}
	return &s, nil
}
