// Command beechhead-load drives daemons with load and reports what callers see.
package main

import (
	"os"

	"github.com/beechhead/beechhead/internal/load"
)

func main() {
	os.Exit(load.Main(os.Args[1:]))
}
