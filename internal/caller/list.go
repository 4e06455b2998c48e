package caller

import (
	"net/http"

	"github.com/labstack/echo/v5"

	"github.com/beechhead/beechhead/internal/membership"
	"github.com/beechhead/beechhead/internal/outcome"
	"github.com/beechhead/beechhead/pkg/table"
)

// modelList is OpenAI's list of models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      table.Pool `json:"id"`
	Object  string     `json:"object"`
	OwnedBy string     `json:"owned_by"`
}

// models lists the models that the account's classes may use.
func (s *Server) models(c *echo.Context) error {
	t := tableInForce(c).Table
	engines := map[table.Pool]bool{}
	for i := range t.Endpoints {
		if t.Endpoints[i].Kind == table.KindEngine {
			engines[t.Endpoints[i].Pool] = true
		}
	}
	list := modelList{Object: "list", Data: []model{}}
	c.Response().Header().Set(HeaderOutcome, string(outcome.Done))
	for _, name := range account(c).Classes {
		cl, ok := t.Class(name)
		if !ok {
			continue
		}
		for _, pool := range cl.Pools {
			if engines[pool] {
				engines[pool] = false
				list.Data = append(list.Data, model{ID: pool, Object: "model", OwnedBy: "beechhead"})
			}
		}
	}
	return c.JSON(http.StatusOK, list)
}

// addressList holds the addresses that callers should connect to.
type addressList struct {
	Addresses []string `json:"addresses"`
	// LifetimeSeconds is how long callers may cache the list.
	LifetimeSeconds int `json:"lifetimeSeconds"`
}

// addresses lists the addresses for a zone, by default this host's.
func (s *Server) addresses(c *echo.Context) error {
	zone := c.QueryParam("zone")
	if zone == "" {
		zone = s.View.Self().Zone
	}
	c.Response().Header().Set(HeaderOutcome, string(outcome.Done))
	return c.JSON(http.StatusOK, addressList{
		Addresses:       s.View.Addresses(zone),
		LifetimeSeconds: int(membership.AddressLifetime.Seconds()),
	})
}
