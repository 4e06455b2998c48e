// Command beechhead is the entry daemon and the operators' command line.
package main

import (
	"os"

	"github.com/beechhead/beechhead/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:]))
}
