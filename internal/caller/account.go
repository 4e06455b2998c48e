package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/beechhead/beechhead/pkg/table"
)

// accountIndex finds the account of an API key in the table in force.
type accountIndex struct {
	current atomic.Pointer[indexedTable]
}

// indexedTable is a table with its accounts by key hash. They are replaced
// together, so that a request never sees accounts of one table version and
// classes of another.
type indexedTable struct {
	table  *table.Versioned
	byHash map[string]*table.Account
}

func (x *accountIndex) update(v *table.Versioned) {
	byHash := map[string]*table.Account{}
	for i := range v.Table.Accounts {
		a := &v.Table.Accounts[i]
		for _, h := range a.KeyHashes {
			byHash[h] = a
		}
	}
	x.current.Store(&indexedTable{table: v, byHash: byHash})
}

// find returns the account that a key belongs to and the table that contains
// it. The map is looked up by the key's hash, so that the time taken reveals
// nothing about the stored keys; the final comparison is constant-time as well.
func (x *accountIndex) find(key string) (*table.Account, *table.Versioned) {
	index := x.current.Load()
	if index == nil || key == "" {
		return nil, nil
	}
	sum := sha256.Sum256([]byte(key))
	text := hex.EncodeToString(sum[:])
	a := index.byHash[text]
	if a == nil {
		return nil, nil
	}
	for _, h := range a.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(h), []byte(text)) == 1 {
			return a, index.table
		}
	}
	return nil, nil
}

const bearerScheme = "Bearer "

// bearer returns the API key of a request. The scheme is matched
// case-insensitively.
func bearer(r *http.Request) string {
	value := r.Header.Get("Authorization")
	if len(value) < len(bearerScheme) || !strings.EqualFold(value[:len(bearerScheme)], bearerScheme) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerScheme):])
}
