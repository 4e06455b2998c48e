// Package table defines the table that operators edit: request classes,
// endpoints and client accounts. It reads and writes the JSON and CSV forms of
// the table and validates it.
package table

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Row kinds, as in the row id "class/counter".
const (
	rowClass    = "class"
	rowEndpoint = "endpoint"
	rowAccount  = "account"
)

// Identifiers in a table. Names are unique within their kind of row.
type (
	// ClassName names a class of requests.
	ClassName string
	// EndpointName names an engine or a service instance.
	EndpointName string
	// SoftwareVersion is the version of an endpoint's software.
	SoftwareVersion string
	// AccountName names a client account.
	AccountName string
	// Pool names a model or a plain service, whose endpoints are
	// interchangeable.
	Pool string
	// Tier is the priority of a class; tier 0 is served first.
	Tier int
	// Version is the number of accepted edits. The table service of the
	// platform assigns it.
	Version uint64
)

// MaxTier is the highest tier number, that is, the lowest priority.
const MaxTier Tier = 9

// Duration is a time.Duration that is marshaled as text such as "1.3s".
type Duration time.Duration

// MarshalText formats the duration like time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses the duration like time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.New("a duration such as 250ms or 1.3s")
	}
	*d = Duration(v)
	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Class is a class of requests with its priority, latency target and limits.
type Class struct {
	Name ClassName `json:"name"`
	// Tier is between 0 and MaxTier.
	Tier Tier `json:"tier"`
	// Weight is the class's share relative to the other classes of its tier; at
	// least 1.
	Weight int `json:"weight"`
	// Pools lists the models or services that the class may use; never empty.
	Pools []Pool `json:"pools"`
	// Target is the latency target; zero fields set no target.
	Target Target `json:"target"`
	// MaxWait is the time in the queue after which a request is aged; positive.
	MaxWait Duration `json:"maxWait"`
	// Limits are the limits of the class; zero fields are unlimited.
	Limits Limits `json:"limits"`
	// Idempotent reports whether a request of the class may be sent more than
	// once.
	Idempotent bool `json:"idempotent"`
	// Preemptible reports whether a request of the class may be cancelled in
	// favour of a higher-priority tier and resumed later.
	Preemptible bool `json:"preemptible"`
}

// Target is the latency target of a class.
type Target struct {
	FirstToken    Duration `json:"firstToken"`
	BetweenTokens Duration `json:"betweenTokens"`
	WholeAnswer   Duration `json:"wholeAnswer"`
}

// Limits are the limits of a class and of its accounts. Zero means unlimited.
type Limits struct {
	// Rate is the maximum number of requests per second.
	Rate float64 `json:"rate"`
	// Concurrency is the maximum number of requests in progress.
	Concurrency int `json:"concurrency"`
	// Queue is the maximum number of queued requests.
	Queue int `json:"queue"`
	// Tokens is the maximum length of one response.
	Tokens int `json:"tokens"`
	// AccountRate is the maximum number of requests per second of one account.
	AccountRate float64 `json:"accountRate"`
	// AccountConcurrency is the maximum number of requests in progress of one
	// account.
	AccountConcurrency int `json:"accountConcurrency"`
}

// EndpointKind distinguishes engines from plain services.
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
	// Concurrency is the number of slots, that is, of requests that the
	// endpoint runs at the same time; at least 1.
	Concurrency int `json:"concurrency"`
	// MemoryTokens is the capacity of the KV cache, in tokens, of an engine
	// that batches its requests; zero means unknown.
	MemoryTokens int `json:"memoryTokens"`
	// ChecksFence reports whether the endpoint refuses orders with an old
	// fencing number.
	ChecksFence bool `json:"checksFence"`
	CanCancel   bool `json:"canCancel"`
	CanResume   bool `json:"canResume"`
	// EchoesID reports whether the endpoint returns the request id that it was
	// sent.
	EchoesID bool `json:"echoesId"`
	// Adapters lists the adapters that the endpoint should have loaded in
	// addition to the model of its pool.
	Adapters []string `json:"adapters"`
	// SoftwareVersion is the version of the endpoint's software. A stream is only
	// continued by endpoints of the version that began it; those without a version
	// count as having the same one.
	SoftwareVersion SoftwareVersion `json:"softwareVersion"`
}

// Account is one client account.
type Account struct {
	Name AccountName `json:"name"`
	// KeyHashes are the SHA-256 hashes of the API keys, in lowercase hex.
	KeyHashes []string `json:"keyHashes"`
	// Classes lists the classes that the account may use; the first is its
	// default.
	Classes []ClassName `json:"classes"`
}

// Table is one version of the whole table.
type Table struct {
	Classes   []Class    `json:"classes"`
	Endpoints []Endpoint `json:"endpoints"`
	Accounts  []Account  `json:"accounts"`

	// index is nil until BuildIndex is called.
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
		panic("table: marshal table: " + err.Error())
	}
	var c Table
	if err := json.Unmarshal(data, &c); err != nil {
		panic("table: unmarshal table: " + err.Error())
	}
	return &c
}
