package tablesync

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/pkg/table"
)

// maxPatches is the number of versions that a peer may lag behind and still
// receive patches instead of the whole table.
const maxPatches = 32

// patch leads from one version to a later one.
type patch struct {
	from, to table.Version
	data     []byte
}

// Update is the response to a peer that has an older version: the whole table
// or the patches that lead to it. The zero value means that there is no newer
// version.
type Update struct {
	Version table.Version
	// Data is the whole table; it is empty if patches are sent.
	Data []byte
	// Patches lead from the requester's version to this one, in order.
	Patches [][]byte
	// Checksum is the xxHash checksum of the whole table's JSON form.
	Checksum uint64
}

var (
	errBaseMismatch     = errors.New("the patches do not start at the active version")
	errChecksumMismatch = errors.New("checksum mismatch of the patched table")
)

// UpdateFor returns the active version for a peer that has an older one: as
// patches if possible, or the whole table, always if whole is set.
func (k *Replica) UpdateFor(than table.Version, whole bool) Update {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.current.Load()
	if v == nil || v.Version <= than {
		return Update{}
	}
	f := Update{Version: v.Version, Checksum: xxhash.Sum64(v.data)}
	if f.Patches = k.patchesFrom(than); whole || f.Patches == nil {
		f.Patches = nil
		f.Data = v.data
	}
	return f
}

// patchesFrom returns the patches from a version to the active one, or nil if
// some of them are no longer kept. The caller holds mu.
func (k *Replica) patchesFrom(v table.Version) (chain [][]byte) {
	for _, p := range k.patches {
		if p.from == v {
			chain = append(chain, p.data)
			v = p.to
		}
	}
	if v != k.Version() {
		return nil
	}
	return chain
}

// recordPatch records the patch from the active table to the next one. The
// caller holds mu.
func (k *Replica) recordPatch(from, to *encodedTable) {
	if from == nil {
		return
	}
	diff := table.Diff(from.Table, to.Table)
	// A patch can't change the order of rows, so a table with reordered rows is
	// sent whole.
	patched, err := json.Marshal(from.Table.Apply(diff))
	if err != nil || string(patched) != string(to.data) {
		k.patches = nil
		return
	}
	k.patches = append(k.patches, patch{from: from.Version, to: to.Version, data: mustJSON(diff)})
	if len(k.patches) > maxPatches {
		k.patches = k.patches[1:]
	}
}

// AdoptUpdate activates the table that a peer has sent. If it fails for
// patches, the whole table must be requested.
func (k *Replica) AdoptUpdate(base table.Version, f Update) (err error) {
	if f.Version <= k.Version() {
		return nil
	}
	if len(f.Patches) == 0 {
		return k.Adopt(f.Version, f.Data)
	}
	current := k.Current()
	if current == nil || current.Version != base {
		return errBaseMismatch
	}
	t := current.Table
	for _, data := range f.Patches {
		var p table.Patch
		if err := json.Unmarshal(data, &p); err != nil {
			return errors.Wrap(err, "decode patch")
		}
		t = t.Apply(&p)
	}
	data, err := json.Marshal(t)
	if err != nil {
		return errors.Wrap(err, "encode patched table")
	}
	if xxhash.Sum64(data) != f.Checksum {
		return errChecksumMismatch
	}
	return k.Adopt(f.Version, data)
}
