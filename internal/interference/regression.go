package interference

const (
	// sampleDecay is the factor by which the weight of a sample falls with each
	// later sample.
	sampleDecay = 0.997
	// minVariance is the variance of the number of running requests below which
	// no slope is fitted.
	minVariance = 4
	// maxSlopeRatio limits the effect of outliers on the slope.
	maxSlopeRatio = 0.2
)

// eventTimeFit is a weighted linear regression of the time of events on the
// number of running requests. The zero value has no samples.
type eventTimeFit struct {
	// w is the sum of the weights. The others are weighted sums: n of the
	// running requests, nn of their squares, t of the seconds, and nt of the
	// products of running requests and seconds.
	w, n, nn, t, nt float64
}

func (c *eventTimeFit) observe(running, took float64) {
	c.w = c.w*sampleDecay + 1
	c.n = c.n*sampleDecay + running
	c.nn = c.nn*sampleDecay + running*running
	c.t = c.t*sampleDecay + took
	c.nt = c.nt*sampleDecay + running*took
}

// predict returns the time of an event at a number of running requests, in
// seconds, or zero if it is unknown.
func (c *eventTimeFit) predict(running float64) float64 {
	base, slope := c.coefficients()
	return base + slope*running
}

// predictAtMean returns the time of an event at the mean number of requests.
func (c *eventTimeFit) predictAtMean() float64 {
	if c.w == 0 {
		return 0
	}
	return c.predict(c.n / c.w)
}

// slopeRatio returns the slope relative to the base time.
func (c *eventTimeFit) slopeRatio() float64 {
	base, slope := c.coefficients()
	if base <= 0 {
		return 0
	}
	return slope / base
}

// coefficients returns the seconds of an event without other requests, and
// those that each running request adds.
func (c *eventTimeFit) coefficients() (base, slope float64) {
	if c.w < minSamples {
		return 0, 0
	}
	meanN, meanT := c.n/c.w, c.t/c.w
	variance := c.nn/c.w - meanN*meanN
	if variance < minVariance {
		return meanT, 0
	}
	slope = max(0, (c.nt/c.w-meanN*meanT)/variance)
	// Keeps the base time, at zero requests, positive.
	slope = min(slope, meanT*maxSlopeRatio/(1+maxSlopeRatio*meanN))
	return meanT - slope*meanN, slope
}
