package soak

import (
	"encoding/json"
	"os"

	"github.com/go-faster/errors"
)

// Regression is a seed that failed once.
type Regression struct {
	Seed uint64 `json:"seed"`
	// SameIDs is as in Options.
	SameIDs bool `json:"sameIds,omitempty"`
	// SmallMemory is as in Options.
	SmallMemory bool `json:"smallMemory,omitempty"`
	// Pauses is as in Options.
	Pauses bool `json:"pauses,omitempty"`
	// Short reports whether the seed belongs to the short run: examples of the causes,
	// and all seeds that have failed in CI.
	Short bool   `json:"short,omitempty"`
	Cause string `json:"cause"`
}

// ReadRegression reads the file of the seeds that failed once.
func ReadRegression(path string) (cases []Regression, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "seeds that failed")
		}
	}()
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		return nil, err
	}
	for _, c := range cases {
		if c.Seed == 0 || c.Cause == "" {
			return nil, errors.New("each needs a seed and a cause")
		}
	}
	return cases, nil
}

// ShortRun returns the cases of the short run.
func ShortRun(cases []Regression) (short []Regression) {
	for _, c := range cases {
		if c.Short {
			short = append(short, c)
		}
	}
	return short
}
