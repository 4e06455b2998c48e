package commandline

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

var (
	errUsers = errors.New("a bad file")
	errOther = errors.New("no connection")
)

type options struct {
	Go goCommand `command:"go" description:"Goes"`
}

type goCommand struct {
	Error string `long:"error"`
}

// Execute fails as it is told to.
func (c *goCommand) Execute([]string) error {
	return map[string]error{"users": errUsers, "other": errOther}[c.Error]
}

func TestExitCodes(t *testing.T) {
	tests := []struct {
		args           []string
		code           int
		stdout, stderr string
	}{
		{[]string{"go"}, 0, "", ""},
		{[]string{"--help"}, 0, "Goes", ""},
		{[]string{"go", "--fast"}, 2, "", "unknown flag"},
		{[]string{"stop"}, 2, "", "Unknown command"},
		{[]string{"go", "--error", "users"}, 2, "", "a bad file"},
		{[]string{"go", "--error", "other"}, 1, "", "no connection"},
	}
	for _, tt := range tests {
		var stdout, stderr bytes.Buffer
		code := Run("test", &options{}, tt.args, &stdout, &stderr, func(err error) bool { return errors.Is(err, errUsers) })
		if code != tt.code || !strings.Contains(stdout.String(), tt.stdout) || !strings.Contains(stderr.String(), tt.stderr) {
			t.Errorf("%v: code %d, %q, %q", tt.args, code, stdout.String(), stderr.String())
		}
	}
}
