package experiment

import (
	"fmt"
	"strings"

	"github.com/beechhead/beechhead/internal/strictjson"
)

// Problem is one fault in a file.
type Problem struct {
	// Path is where it stands, such as "loads[0].rate".
	Path string
	What string
}

// Problems is every fault found; it is an error when not empty.
type Problems []Problem

// Error lists the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, one := range p {
		lines = append(lines, one.Path+": "+one.What)
	}
	return strings.Join(lines, "\n")
}

// decodeProblems names the faults of decoding as problems.
func decodeProblems(faults []strictjson.Fault) Problems {
	var problems Problems
	for _, f := range faults {
		path := f.Path
		if path == "" {
			path = "(file)"
		}
		problems = append(problems, Problem{Path: path, What: fmt.Sprintf("%s; allowed: %s", f.Value, f.Allowed)})
	}
	return problems
}
