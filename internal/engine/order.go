package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/endpoint"
	"github.com/beechhead/beechhead/pkg/table"
)

// PathState is the path at which an engine's state is read and ordered.
const PathState = "/v1/state"

// Errors of orders.
var (
	// ErrStaleFence means that the engine has seen a larger fencing number.
	ErrStaleFence = errors.New("the engine has seen a larger fencing number")
	// ErrOrdersUnsupported means that the engine does not support orders.
	ErrOrdersUnsupported = errors.New("the engine does not support orders")
)

// Order is the state that an engine should reach. It describes the target
// state, not a step towards it, so that endlessReader it is harmless.
type Order struct {
	// Fence is the sender's fencing number.
	Fence uint64 `json:"fence"`
	Model string `json:"model"`
	// Adapters is sorted.
	Adapters []string `json:"adapters"`
}

// State lists the models and adapters that an engine has loaded.
type State struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	// Fence is the largest fencing number that the engine has seen, or zero if
	// it checks none.
	Fence uint64 `json:"fence"`
	// Loading is true while the engine changes to an ordered state.
	Loading bool `json:"loading"`
}

// Meets reports whether the state is the ordered one.
func (s *State) Meets(o *Order) bool {
	return s.Model == o.Model && slices.Equal(slices.Sorted(slices.Values(s.Adapters)), o.Adapters)
}

// OrderFor returns the order for a row of the table.
func OrderFor(e *table.Endpoint) Order {
	return Order{Model: string(e.Pool), Adapters: append([]string{}, slices.Sorted(slices.Values(e.Adapters))...)}
}

// State requests an engine's state.
func (c *Client) State(ctx context.Context, e *table.Endpoint) (state State, err error) {
	if err := c.requestState(ctx, e, http.MethodGet, nil, &state); err != nil {
		return state, errors.Wrapf(err, "read state of %s", e.Name)
	}
	return state, nil
}

// Order requests an engine to reach a state. After any error but
// ErrStaleFence and ErrOrdersUnsupported, the engine may still carry out the
// order.
func (c *Client) Order(ctx context.Context, e *table.Endpoint, o Order) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "send order to %s", e.Name)
		}
	}()
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	var state State
	return c.requestState(ctx, e, http.MethodPut, body, &state)
}

func (c *Client) requestState(ctx context.Context, e *table.Endpoint, method string, body []byte, state *State) error {
	response, err := c.sender.Send(ctx, endpoint.Request{
		Method: method, URL: e.URL + PathState, Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
		Pooled: true, Repeatable: method == http.MethodGet,
	})
	if err != nil {
		return err
	}
	defer response.Close()
	switch response.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return json.NewDecoder(io.LimitReader(response.Body, maxReportSize)).Decode(state)
	case http.StatusConflict:
		return ErrStaleFence
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return ErrOrdersUnsupported
	}
	return errors.Errorf("unexpected status %d", response.StatusCode)
}
