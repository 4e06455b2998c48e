package membership

// Version identifies the state of a host: half a hash of its id in the upper and
// half a hash of its incarnation and lifecycle state in the lower 32 bits.
type Version uint64

const halfHash = 1<<32 - 1

func versionOf(idHash, stateHash uint64) Version {
	return Version(idHash<<32 | stateHash&halfHash)
}

// host returns the part of a version that identifies the host.
func (n Version) host() uint32 { return uint32(n >> 32) }

// Versions returns the versions of the hosts that are not gone, including this
// daemon's own.
func (v *View) Versions() []Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	versions := make([]Version, 0, len(v.sorted)+1)
	versions = append(versions, versionOf(idHash(v.self.ID), v.selfHash))
	for _, e := range v.sorted {
		if !e.gone() {
			versions = append(versions, versionOf(e.idHash, e.stateHash))
		}
	}
	return versions
}

// Difference compares the hosts that this daemon knows with the versions of
// another one. It returns the updates that the other one lacks, and the ids' half
// hashes of the hosts that it is to send.
func (v *View) Difference(versions []Version) (lacking []Update, wanted []uint32) {
	theirs := make(map[uint32]Version, len(versions))
	for _, one := range versions {
		theirs[one.host()] = one
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(theirs, versionOf(idHash(v.self.ID), 0).host())
	for _, e := range v.sorted {
		own := versionOf(e.idHash, e.stateHash)
		known, ok := theirs[own.host()]
		if own == known && !e.gone() || e.gone() && !ok {
			delete(theirs, own.host())
			continue
		}
		lacking = append(lacking, e.update)
	}
	for host := range theirs {
		wanted = append(wanted, host)
	}
	return lacking, wanted
}

// Find returns updates of the hosts with the given half hashes of their ids.
func (v *View) Find(hashes []uint32) (updates []Update) {
	wanted := make(map[uint32]bool, len(hashes))
	for _, hash := range hashes {
		wanted[hash] = true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.sorted {
		if wanted[versionOf(e.idHash, 0).host()] {
			updates = append(updates, e.update)
		}
	}
	return updates
}
