// Package streamorigin keeps in the platform's store where streams may have begun: the
// software versions of each pool and the pools of each route, for as long as their streams
// may be taken up. A record precedes the first stream, so that a daemon that reads the
// records after a caller has asked knows of every place where its stream can have begun,
// also when no daemon remembers the stream. See docs/design/stream-versions.md.
package streamorigin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/storetime"
	"github.com/beechhead/beechhead/pkg/table"
)

// Memory is how long after it has left an origin counts. Streams that began there may be
// taken up in that time.
const Memory = 10 * time.Minute

// kind is the type of an origin.
type kind string

const (
	// kindVersion is a software version of a pool, kindPool a pool of a route.
	kindVersion kind = "version"
	kindPool    kind = "pool"
)

// Origin is a place where streams may have begun.
type Origin struct {
	kind kind
	// owner is the pool of a version, or the host and prefix of a route.
	owner string
	// member is the version of a pool, or the pool of a route.
	member string
}

// OfVersion returns the origin of streams that endpoints of a pool begin at a version.
func OfVersion(pool table.Pool, version table.SoftwareVersion) Origin {
	return Origin{kindVersion, string(pool), string(version)}
}

// OfRoute returns the origin of streams that a route sends to a pool.
func OfRoute(host, prefix string, pool table.Pool) Origin {
	return Origin{kindPool, host + prefix, string(pool)}
}

// key returns the key of the origin's row. Names may be too long for it.
func (o Origin) key() string { return ownerKey(o.kind, o.owner) + shortHash(o.member) }

// ownerKey returns what the keys of all origins of an owner begin with.
func ownerKey(k kind, owner string) string { return string(k) + "." + shortHash(owner) + "." }

func shortHash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}

// ownerOfKey returns the part of a row's key that all origins of its owner share; false if
// the key is not that of an origin.
func ownerOfKey(key string) (string, bool) {
	if strings.Count(key, ".") != 2 {
		return "", false
	}
	return key[:strings.LastIndex(key, ".")+1], true
}

// record is the value of an origin's row. Times are in milliseconds on the store's clock.
type record struct {
	Kind   kind   `json:"kind"`
	Owner  string `json:"owner"`
	Member string `json:"member"`
	// SinceMs is when streams may have begun there first, LeftMs a time after which none
	// begin; zero if they still may.
	SinceMs int64 `json:"sinceMs"`
	LeftMs  int64 `json:"leftMs,omitempty"`
}

var errOtherOrigin = errors.New("the key is that of another origin")

// decode decodes the value of a row.
func decode(key string, value []byte) (r record, err error) {
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, errors.Wrapf(err, "decode origin %s", key)
	}
	if r.origin().key() != key {
		return record{}, errors.Wrapf(errOtherOrigin, "decode origin %s", key)
	}
	return r, nil
}

func (r record) origin() Origin { return Origin{r.Kind, r.Owner, r.Member} }

// counts reports whether streams that have begun there may still be taken up. A time that
// is still to come stems from before the store was restored.
func (r record) counts(now storetime.Instant) bool { return r.countsFor(now, Memory) }

// countsFor reports whether the origin had not left longer than d ago.
func (r record) countsFor(now storetime.Instant, d time.Duration) bool {
	return r.LeftMs == 0 || now.Sub(storetime.Instant(r.LeftMs)) < d
}

// isSettled reports whether streams could begin there for the whole of Memory, and still
// can.
func (r record) isSettled(now storetime.Instant) bool {
	return r.LeftMs == 0 && now.Sub(storetime.Instant(r.SinceMs)) >= Memory
}
