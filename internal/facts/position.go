package facts

import "github.com/beechhead/beechhead/internal/platform"

// Position is a version of the store, which grows with each transaction, within
// an era, which grows each time that the store comes back from a copy and gives
// versions out again. Positions of a later era are greater than all earlier
// ones. A daemon or store that knows no eras is in era 0.
type Position uint64

// versionBits is how many bits of a position hold the version.
const versionBits = 44

// PositionOf returns the position of a version in an era.
func PositionOf(era platform.Era, version uint64) Position {
	return Position(uint64(era)<<versionBits | version&(1<<versionBits-1))
}

// Era returns the era.
func (p Position) Era() platform.Era { return platform.Era(p >> versionBits) }

// Version returns the store's version within the era.
func (p Position) Version() uint64 { return uint64(p) & (1<<versionBits - 1) }
