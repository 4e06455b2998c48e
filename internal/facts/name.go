package facts

import (
	"github.com/beechhead/beechhead/internal/endpointname"
	"github.com/beechhead/beechhead/pkg/table"
)

// Name returns the endpoint's name in the table.
func (e Endpoint) Name() table.EndpointName { return endpointname.New(string(e.ID), e.Born) }

// IDOf returns the ID under which the endpoint with a name has registered.
func IDOf(name table.EndpointName) EndpointID { return EndpointID(endpointname.ID(name)) }
