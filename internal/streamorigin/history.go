package streamorigin

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/beechhead/beechhead/internal/platform"
	"github.com/beechhead/beechhead/internal/storetime"
	"github.com/beechhead/beechhead/pkg/table"
)

// History holds the origins of streams as of one moment.
type History struct {
	now  storetime.Instant
	rows map[Origin]record
	// versions holds the versions of all rows in the store by their keys.
	versions map[string]uint64
	// unreadable holds the keys of rows that can't be decoded by their owners. They may
	// be of any member.
	unreadable map[string][]string
}

// NewHistory returns the history that a complete read of the table shows.
func NewHistory(rows platform.Rows) *History {
	h := &History{
		now: storetime.Instant(rows.NowMs), rows: map[Origin]record{},
		versions: map[string]uint64{}, unreadable: map[string][]string{},
	}
	for _, r := range rows.Rows {
		h.versions[r.Key] = r.Version
		one, err := decode(r.Key, r.Value)
		if err == nil {
			h.rows[one.origin()] = one
			continue
		}
		if owner, ok := ownerOfKey(r.Key); ok {
			h.unreadable[owner] = append(h.unreadable[owner], r.Key)
		}
	}
	return h
}

// add adds origins at which streams may still begin.
func (h *History) add(origins []Origin) {
	for _, o := range origins {
		h.rows[o] = record{Kind: o.kind, Owner: o.owner, Member: o.member, SinceMs: int64(h.now)}
	}
}

// Versions returns the software versions at which a pool may have begun streams that may
// still be taken up, sorted; false if they are not certain.
func (h *History) Versions(pool table.Pool) ([]table.SoftwareVersion, bool) {
	if len(h.unreadable[ownerKey(kindVersion, string(pool))]) > 0 {
		return nil, false
	}
	var all []table.SoftwareVersion
	for o, r := range h.rows {
		if o.kind == kindVersion && o.owner == string(pool) && r.counts(h.now) {
			all = append(all, table.SoftwareVersion(o.member))
		}
	}
	slices.Sort(all)
	return all, true
}

// Pools returns the pools in which streams of requests to a host and path may have begun
// that may still be taken up, sorted; false if they are not certain. Several routes may
// have matched the path one after the other. Those with a shorter prefix matter only if a
// longer one may have been missing for a part of the time.
func (h *History) Pools(host, path string) ([]table.Pool, bool) {
	found := map[table.Pool]bool{}
	for _, owner := range prefixes(host, path) {
		if len(h.unreadable[ownerKey(kindPool, owner)]) > 0 {
			return nil, false
		}
		settled := false
		for o, r := range h.rows {
			if o.kind == kindPool && o.owner == owner && r.counts(h.now) {
				found[table.Pool(o.member)] = true
				settled = settled || r.isSettled(h.now)
			}
		}
		if settled {
			break
		}
	}
	return slices.Sorted(maps.Keys(found)), true
}

// prefixes returns the host with each prefix of a path that a route may have, the longest
// first.
func prefixes(host, path string) (all []string) {
	for i := range len(path) {
		if path[i] == '/' {
			all = append(all, host+path[:i+1])
		}
	}
	slices.Reverse(all)
	return all
}

// missing returns those of some origins that are not recorded, or that will not count much
// longer, without repetitions.
func (h *History) missing(origins []Origin) (absent []Origin) {
	seen := map[Origin]bool{}
	for _, o := range origins {
		if r, ok := h.rows[o]; !seen[o] && (!ok || !r.countsFor(h.now, Memory/2)) {
			absent = append(absent, o)
		}
		seen[o] = true
	}
	return absent
}

// outdated returns, in a fixed order, the rows that must change so that exactly the present
// origins count without end: those to be opened, those present no longer, and those to be
// removed.
func (h *History) outdated(present []Origin) (opened, left, expired []Origin) {
	isPresent := make(map[Origin]bool, len(present))
	for _, o := range present {
		r, ok := h.rows[o]
		if !isPresent[o] && (!ok || r.LeftMs != 0) {
			opened = append(opened, o)
		}
		isPresent[o] = true
	}
	for o, r := range h.rows {
		switch {
		case isPresent[o]:
		case r.LeftMs == 0:
			left = append(left, o)
		case !r.counts(h.now):
			expired = append(expired, o)
		}
	}
	for _, list := range [][]Origin{opened, left, expired} {
		slices.SortFunc(list, compare)
	}
	return opened, left, expired
}

func compare(a, b Origin) int {
	return cmp.Or(strings.Compare(string(a.kind), string(b.kind)), strings.Compare(a.owner, b.owner), strings.Compare(a.member, b.member))
}
