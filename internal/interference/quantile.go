package interference

// quantileStep is the relative size of an update by one sample.
const quantileStep = 0.04

// quantile estimates a quantile of positive samples and follows changes of
// their distribution. The zero value has no samples.
type quantile struct {
	value float64
	n     int
}

// add adds a sample; share is the quantile, from 0 to 1.
func (q *quantile) add(sample, share float64) {
	q.n++
	switch {
	case q.n == 1:
		q.value = sample
	case q.n <= minSamples && share > 0.5:
		// Takes the largest of the first samples: the steps are too small to
		// correct quickly a first estimate that is far too low.
		q.value = max(q.value, sample)
	case q.n <= minSamples:
		q.value = min(q.value, sample)
	case sample > q.value:
		q.value *= 1 + quantileStep*share
	default:
		q.value *= 1 - quantileStep*(1-share)
	}
}
