// Package status is what operators see of a site: the figures of each daemon
// and their sum.
package status

import (
	"cmp"
	"maps"
	"slices"

	"github.com/beechhead/beechhead/internal/attainment"
	"github.com/beechhead/beechhead/pkg/table"
)

// EndpointState reports whether an endpoint gets work.
type EndpointState string

// The states of an endpoint.
const (
	// EndpointReady gets work.
	EndpointReady EndpointState = "ready"
	// EndpointDraining is on a host that is leaving.
	EndpointDraining EndpointState = "draining"
	// EndpointEjected gets no work for a while, because it failed or is slow.
	EndpointEjected EndpointState = "ejected"
)

// Endpoint is an endpoint as known to the coordinator of its cell.
type Endpoint struct {
	Name  table.EndpointName `json:"name"`
	Cell  string             `json:"cell"`
	State EndpointState      `json:"state"`
	// Reason is the reason for its ejection.
	Reason string `json:"reason,omitempty"`
	// Running counts the requests that the coordinator has granted.
	Running     int `json:"running"`
	Concurrency int `json:"concurrency"`
	// Foreign counts requests of others, by the endpoint's last load report.
	Foreign int `json:"foreign"`
	// OutstandingTokens is the estimated work of the running requests.
	OutstandingTokens int `json:"outstandingTokens"`
	// Coordinator is the host that runs the cell.
	Coordinator string `json:"coordinator"`
}

// Queue is a class as known to its coordinators, since they run their cells.
type Queue struct {
	Waiting   int   `json:"waiting"`
	Granted   int64 `json:"granted"`
	Aged      int64 `json:"aged"`
	Preempted int64 `json:"preempted"`
	// OldestWaitMS is that of the requests that wait now.
	OldestWaitMS int64 `json:"oldestWaitMs"`
}

// Add adds another cell's queue.
func (q *Queue) Add(o Queue) {
	q.Waiting += o.Waiting
	q.Granted += o.Granted
	q.Aged += o.Aged
	q.Preempted += o.Preempted
	q.OldestWaitMS = max(q.OldestWaitMS, o.OldestWaitMS)
}

// Queues holds the queues by class.
type Queues map[table.ClassName]Queue

// add adds other queues.
func (q Queues) add(o Queues) {
	for name, queue := range o {
		sum := q[name]
		sum.Add(queue)
		q[name] = sum
	}
}

// Daemon is the status of one daemon.
type Daemon struct {
	Host         string        `json:"host"`
	TableVersion table.Version `json:"tableVersion"`
	// Classes holds the requests that entered at this daemon.
	Classes map[table.ClassName]attainment.ClassStatus `json:"classes"`
	// Queues and Endpoints are those of the cells that this daemon runs.
	Queues    Queues     `json:"queues"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Site is the sum over all daemons that answered.
type Site struct {
	// TableVersion is the lowest that is in force on a host.
	TableVersion table.Version `json:"tableVersion"`
	// Hosts lists the hosts that answered, Silent those that did not.
	Hosts  []string `json:"hosts"`
	Silent []string `json:"silent"`
	// WindowSeconds is the time that recent figures cover.
	WindowSeconds int                                        `json:"windowSeconds"`
	Classes       map[table.ClassName]attainment.ClassStatus `json:"classes"`
	Queues        Queues                                     `json:"queues"`
	Endpoints     []Endpoint                                 `json:"endpoints"`
}

// Sum adds up the daemons of a site. Two coordinators of one cell, as there
// are for a moment after a change, are both shown.
func Sum(daemons []*Daemon, silent []string) *Site {
	s := &Site{
		Hosts:         []string{},
		Silent:        append([]string{}, silent...),
		WindowSeconds: int(attainment.Window.Seconds()),
		Classes:       map[table.ClassName]attainment.ClassStatus{},
		Queues:        Queues{},
		Endpoints:     []Endpoint{},
	}
	for i, d := range daemons {
		s.Hosts = append(s.Hosts, d.Host)
		s.Queues.add(d.Queues)
		s.Endpoints = append(s.Endpoints, d.Endpoints...)
		if i == 0 || d.TableVersion < s.TableVersion {
			s.TableVersion = d.TableVersion
		}
		for _, name := range slices.Sorted(maps.Keys(d.Classes)) {
			sum := s.Classes[name]
			sum.Add(d.Classes[name])
			s.Classes[name] = sum
		}
	}
	slices.Sort(s.Hosts)
	slices.Sort(s.Silent)
	slices.SortFunc(s.Endpoints, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Coordinator, b.Coordinator))
	})
	return s
}
