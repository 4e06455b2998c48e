package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// TestEstimatesFollowClassAndAccount draws log-normal lengths that depend on
// class and account, and measures the error of the estimates.
func TestEstimatesFollowClassAndAccount(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	s := NewEstimator()
	// The mean of the logarithm depends on class and account.
	means := map[Class]float64{"check": math.Log(30), "summary": math.Log(400)}
	accounts := map[Account]float64{"terse": -0.7, "usual": 0, "verbose": 0.7}
	const sigma = 0.5
	draw := func(c Class, a Account) int {
		return max(1, int(math.Exp(means[c]+accounts[a]+sigma*random.NormFloat64())))
	}
	for range 3000 {
		for _, c := range []Class{"check", "summary"} {
			for _, a := range []Account{"terse", "usual", "verbose"} {
				s.Observe(c, a, s.Estimate(c, a), draw(c, a))
			}
		}
	}
	for c, mean := range means {
		for a, shift := range accounts {
			want := math.Exp(mean + shift + sigma*sigma/2)
			got := float64(s.Estimate(c, a))
			if got < 0.6*want || got > 1.6*want {
				t.Errorf("%s of %s: estimate %.0f, mean length %.0f", c, a, got, want)
			}
		}
	}
	e := s.Error()
	t.Logf("%d of %d within a factor of two, bias %.3f", e.WithinTwofold, e.Answers, e.Bias)
	// With sigma 0.5, four of five lengths are within a factor of two of the mean.
	if share := float64(e.WithinTwofold) / float64(e.Answers); share < 0.75 {
		t.Errorf("%.3f of the estimates are within a factor of two, want 0.75", share)
	}
	if math.Abs(e.Bias) > 0.1 {
		t.Errorf("bias %.3f", e.Bias)
	}
}

// The estimate of an unknown account is that of its class, and that of an unknown
// class is a default. The history must stay bounded with any number of accounts.
func TestEstimatorIsBounded(t *testing.T) {
	s := NewEstimator()
	if got := s.Estimate("c", "a"); got != defaultTokens {
		t.Errorf("estimate without history is %d, want %d", got, defaultTokens)
	}
	for i := range 3 * maxAccountHistories {
		s.Observe("c", Account(fmt.Sprint(i)), 10, 10)
	}
	if n := len(s.accounts); n > maxAccountHistories {
		t.Errorf("%d account histories are kept, want at most %d", n, maxAccountHistories)
	}
	if got := s.Estimate("c", "new"); got != 10 {
		t.Errorf("estimate of a new account is %d, want its class's 10", got)
	}
}

// A class must drop idle accounts, so that its memory stays bounded with any
// number of accounts.
func TestAccountsOfAClassAreBounded(t *testing.T) {
	cell := NewCell(newFakeClock())
	cell.Configure(Config{Classes: modelClasses, Endpoints: endpoints(1, 1)})
	for i := range 5 * maxIdleAccounts {
		cell.Reserve(Request{ID: id(i), Class: "top", Account: Account(fmt.Sprint(i))})
		cell.Step()
		cell.Release(id(i), Report{Tokens: 5, Done: true})
	}
	if n := len(cell.classes["top"].accounts); n > maxIdleAccounts+1 {
		t.Errorf("%d accounts are kept, want at most %d", n, maxIdleAccounts+1)
	}
}
