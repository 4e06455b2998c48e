package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/service"
	"github.com/beechhead/beechhead/pkg/table"
)

const (
	claimsTable  = "claims"
	objectPrefix = "claim-"
	// maxInlineBytes is the largest response body that is stored in the row;
	// larger ones are stored in the object store.
	maxInlineBytes = 16 << 10
	// accountHashDigits is the length of the prefix of a row's key that is
	// taken from the account's hash. It allows listing the claims of one
	// account.
	accountHashDigits = 16
)

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// Running claims belong to their holder permanently; no other daemon takes
	// them over.
	Running State = "running"
	// Done claims have a stored response.
	Done State = "done"
	// Unknown claims may have been executed.
	Unknown State = "unknown"
	// Released claims were released by their own holder, which had not sent the
	// request. The row is kept, so that its version keeps increasing and a
	// delayed write can't be mistaken for a newer one.
	Released State = "released"
)

// Scope identifies a request: an idempotency key and the account and service
// within which it is unique.
type Scope struct {
	Account table.AccountName `json:"account"`
	Service table.Pool        `json:"service"`
	Key     string            `json:"key"`
}

// Holder is the incarnation of a daemon that holds a claim.
type Holder struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Record is the value of a claim's row.
type Record struct {
	Scope
	// Attempt is a random id chosen by the daemon that claims the key.
	Attempt string `json:"attempt"`
	Holder  Holder `json:"holder"`
	// BodyHash is the hash of the method, path and body that the key is bound
	// to.
	BodyHash string `json:"bodyHash"`
	State    State  `json:"state"`
	// At is when the claim entered its state, according to the holder's clock.
	At time.Time `json:"at"`
	// Response is the stored response of a done claim. If Object is set, the
	// response is stored in the object of that name instead.
	Response *service.Response `json:"response,omitempty"`
	Object   string            `json:"object,omitempty"`
}

func (r *Record) objectName() string { return objectPrefix + r.Attempt }

// rowKey returns the key of the row for a scope.
func rowKey(s Scope) platform.Key {
	id := hash(string(s.Account) + "\x00" + string(s.Service) + "\x00" + s.Key)
	return platform.Key{Table: claimsTable, Key: accountPrefix(s.Account) + id}
}

func accountPrefix(a table.AccountName) string { return hash(string(a))[:accountHashDigits] + "." }

func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// encode encodes a value of this package, which can't fail.
func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic("claim: " + err.Error())
	}
	return data
}

func decode(row platform.Row) (r Record, err error) {
	err = json.Unmarshal(row.Value, &r)
	return r, err
}
