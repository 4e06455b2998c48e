package cli

import (
	"io"
	"os"

	"github.com/go-faster/errors"

	"github.com/beechhead/beechhead/internal/logline"
)

// explainCommand prints one request's story from logs.
type explainCommand struct {
	output
	Arguments struct {
		Request string   `positional-arg-name:"ID" description:"The request's id" required:"true"`
		Files   []string `positional-arg-name:"FILE" description:"Logs of some daemons" required:"1"`
	} `positional-args:"true"`
}

// errNoLines means that the logs do not mention the request.
var errNoLines = errors.New("the logs have no line of the request; only some requests have their routine lines logged")

// Execute reads the logs and prints.
func (c *explainCommand) Execute([]string) (err error) {
	var logs []io.Reader
	for _, name := range c.Arguments.Files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	trace, err := logline.ReadTrace(c.Arguments.Request, logs...)
	if err != nil {
		return err
	}
	trace.Write(c.out)
	if len(trace.Entries) == 0 {
		return errNoLines
	}
	return nil
}
