// Package table defines the table that operators edit: classes of requests,
// endpoints and client accounts, with its JSON and CSV forms and its checks.
package table

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Kinds of row, as in "class/counter".
const (
	rowClass    = "class"
	rowEndpoint = "endpoint"
	rowAccount  = "account"
)

// Names of the things in a table. All are unique within their kind.
type (
	// ClassName names a class of requests.
	ClassName string
	// EndpointName names an engine or a service instance.
	EndpointName string
	// AccountName names a client account.
	AccountName string
	// Pool names a model or a plain service; its endpoints are interchangeable.
	Pool string
	// Tier orders classes; zero is served first.
	Tier int
	// Version counts accepted edits. The table service assigns it.
	Version uint64
)

// MaxTier is the lowest tier that a class may have.
const MaxTier Tier = 9

// Duration is a time.Duration that reads and prints as text such as "1.3s".
type Duration time.Duration

// MarshalText prints the duration in Go's form.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the duration in Go's form.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.New("a duration such as 250ms or 1.3s")
	}
	*d = Duration(v)
	return nil
}

// Std returns the duration as the standard type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Class is one class of requests.
type Class struct {
	Name ClassName `json:"name"`
	// Tier is between 0 and MaxTier.
	Tier Tier `json:"tier"`
	// Weight is the share among the classes of one tier; at least 1.
	Weight int `json:"weight"`
	// Pools lists the models or services that the class may use; never empty.
	Pools []Pool `json:"pools"`
	// Target is what the class is promised; zero fields promise nothing.
	Target Target `json:"target"`
	// MaxWait bounds the time in the queue before ageing; positive.
	MaxWait Duration `json:"maxWait"`
	// Limits bound the class; zero fields are unlimited.
	Limits Limits `json:"limits"`
	// Idempotent classes may be sent more than once.
	Idempotent bool `json:"idempotent"`
	// Preemptible classes may be cancelled and resumed for a higher tier.
	Preemptible bool `json:"preemptible"`
}

// Target is the latency that a class is promised.
type Target struct {
	FirstToken    Duration `json:"firstToken"`
	BetweenTokens Duration `json:"betweenTokens"`
	WholeAnswer   Duration `json:"wholeAnswer"`
}

// Limits bound a class or its accounts. Zero means unlimited.
type Limits struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Concurrency counts requests in progress.
	Concurrency int `json:"concurrency"`
	// Queue counts waiting requests.
	Queue int `json:"queue"`
	// Tokens bounds the length of one answer.
	Tokens int `json:"tokens"`
	// AccountRate is in requests per second and account.
	AccountRate float64 `json:"accountRate"`
	// AccountConcurrency counts requests in progress per account.
	AccountConcurrency int `json:"accountConcurrency"`
}

// EndpointKind tells engines from plain services.
type EndpointKind string

// The kinds of endpoint.
const (
	KindEngine  EndpointKind = "engine"
	KindService EndpointKind = "service"
)

// Endpoint is one engine or one instance of a plain service.
type Endpoint struct {
	Name EndpointName `json:"name"`
	Kind EndpointKind `json:"kind"`
	Pool Pool         `json:"pool"`
	// URL is http or https with an IP address and a port.
	URL    string `json:"url"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Concurrency is how many requests it runs at once; at least 1.
	Concurrency int `json:"concurrency"`
	// MemoryTokens is how many tokens an engine that batches its requests
	// keeps in memory; zero is unknown.
	MemoryTokens int `json:"memoryTokens"`
	// ChecksFence tells whether it refuses orders with an old fencing number.
	ChecksFence bool `json:"checksFence"`
	CanCancel   bool `json:"canCancel"`
	CanResume   bool `json:"canResume"`
	// EchoesID tells whether it returns the request id that it was sent.
	EchoesID bool `json:"echoesId"`
	// Adapters lists what it should have loaded beside its pool's model.
	Adapters []string `json:"adapters"`
}

// Account is one client account.
type Account struct {
	Name AccountName `json:"name"`
	// KeyHashes are SHA-256 sums of API keys, in lower-case hex.
	KeyHashes []string `json:"keyHashes"`
	// Classes lists the classes that it may use; the first is its default.
	Classes []ClassName `json:"classes"`
}

// Table is one version of the whole table.
type Table struct {
	Classes   []Class    `json:"classes"`
	Endpoints []Endpoint `json:"endpoints"`
	Accounts  []Account  `json:"accounts"`

	// index is nil until BuildIndex.
	index *index
}

// Versioned is a table with the version under which it was accepted.
type Versioned struct {
	Version Version `json:"version"`
	Table   *Table  `json:"table"`
}

// Clone returns a deep copy without the index.
func (t *Table) Clone() *Table {
	data, err := json.Marshal(t)
	if err != nil {
		panic("table: a table always marshals: " + err.Error())
	}
	var c Table
	if err := json.Unmarshal(data, &c); err != nil {
		panic("table: a marshalled table always unmarshals: " + err.Error())
	}
	return &c
}
