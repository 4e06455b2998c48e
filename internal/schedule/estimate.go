package schedule

import "math"

const (
	// defaultTokens is the estimate for a class without history.
	defaultTokens = 128
	// historySmoothing is the weight of a new sample in the history.
	historySmoothing = 0.05
	// accountPriorAnswers is the number of responses at which the history of an
	// account has the same weight as that of its class.
	accountPriorAnswers = 8
	// maxAccountHistories limits the number of accounts whose history is kept.
	maxAccountHistories = 8192
	// accurateFactor is the factor within which an estimate counts as accurate.
	accurateFactor = 2
)

// Estimator estimates the length of responses from previous responses to the same
// class and account. Lengths are assumed to be log-normally distributed: the
// history holds the mean and variance of the logarithm. Its state is bounded.
type Estimator struct {
	classes  map[Class]*history
	accounts map[historyKey]*history
	errors   EstimateError
}

type historyKey struct {
	class   Class
	account Account
}

// history holds the mean and variance of the logarithm of the lengths.
type history struct {
	mean, variance float64
	n              int
}

// EstimateError summarizes the errors of the estimates.
type EstimateError struct {
	// Answers counts the responses with an estimate.
	Answers int `json:"answers"`
	// WithinTwofold counts the responses between half and twice the estimate.
	WithinTwofold int `json:"withinTwofold"`
	// Bias is the mean of estimate minus length, in tokens, divided by the
	// mean length; zero means unbiased.
	Bias float64 `json:"bias"`

	estimated, actual float64
}

// NewEstimator returns an estimator without history.
func NewEstimator() *Estimator {
	return &Estimator{classes: map[Class]*history{}, accounts: map[historyKey]*history{}}
}

// Estimate returns the expected number of tokens, at least 1.
func (s *Estimator) Estimate(class Class, account Account) int {
	c := s.classes[class]
	if c == nil {
		return defaultTokens
	}
	mean, variance := c.mean, c.variance
	if a := s.accounts[historyKey{class, account}]; a != nil {
		weight := float64(a.n) / float64(a.n+accountPriorAnswers)
		mean += weight * (a.mean - mean)
		variance += weight * (a.variance - variance)
	}
	return max(1, int(math.Exp(mean+variance/2)))
}

// Observe records the length of a complete response and its estimate.
func (s *Estimator) Observe(class Class, account Account, estimated, tokens int) {
	if tokens <= 0 {
		return
	}
	s.errors.add(estimated, tokens)
	log := math.Log(float64(tokens))
	c := s.classes[class]
	if c == nil {
		c = &history{}
		s.classes[class] = c
	}
	c.add(log)
	key := historyKey{class, account}
	a := s.accounts[key]
	if a == nil {
		s.evictAccount()
		a = &history{}
		s.accounts[key] = a
	}
	a.add(log)
}

// evictAccount drops the history of an arbitrary account if the limit is
// reached. The choice matters little: the account falls back to the estimate of
// its class until it has history again.
func (s *Estimator) evictAccount() {
	if len(s.accounts) < maxAccountHistories {
		return
	}
	for key := range s.accounts {
		delete(s.accounts, key)
		return
	}
}

// Error returns the errors of all estimates so far.
func (s *Estimator) Error() EstimateError { return s.errors }

func (h *history) add(log float64) {
	h.n++
	weight := max(historySmoothing, 1/float64(h.n))
	delta := log - h.mean
	h.mean += weight * delta
	h.variance = (1 - weight) * (h.variance + weight*delta*delta)
}

func (e *EstimateError) add(estimated, tokens int) {
	e.Answers++
	if estimated <= accurateFactor*tokens && tokens <= accurateFactor*estimated {
		e.WithinTwofold++
	}
	e.estimated += float64(estimated)
	e.actual += float64(tokens)
	e.Bias = (e.estimated - e.actual) / e.actual
}
