package facts

import "github.com/beechhead/beechhead/internal/platform"

// Position is a version of the store within an era. The version grows with
// each transaction; the era grows each time that the store is restored from a
// backup and assigns versions again. Positions of a later era are greater than
// all earlier ones. A daemon or store without eras is in era 0.
type Position uint64

// versionBits is the number of bits of a position that hold the version.
const versionBits = 44

// PositionOf returns the position of a version in an era.
func PositionOf(era platform.Era, version uint64) Position {
	return Position(uint64(era)<<versionBits | version&(1<<versionBits-1))
}

// Era returns the era.
func (p Position) Era() platform.Era { return platform.Era(p >> versionBits) }

// Version returns the store's version within the era.
func (p Position) Version() uint64 { return uint64(p) & (1<<versionBits - 1) }
