package cell

// Constants of the linear congruential generator and of the division in jump
// consistent hashing (Lamping and Veach, 2014).
const (
	jumpMultiplier = 2862933555777941757
	jumpMantissa   = 1 << 31
)

// jumpHash returns a bucket below count for a hash. When the count grows by one, a
// share of one in the new count of all hashes moves, all of them to the new bucket.
func jumpHash(hash uint64, count int) int {
	bucket, next := int64(-1), int64(0)
	for next < int64(count) {
		bucket = next
		hash = hash*jumpMultiplier + 1
		next = int64(float64(bucket+1) * (jumpMantissa / float64(hash>>33+1)))
	}
	return int(max(bucket, 0))
}
