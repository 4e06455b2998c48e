// Command beechhead-standin runs stand-ins for the platform, engines and plain
// services, and a demo of a whole site.
package main

import (
	"os"

	"github.com/beechhead/beechhead/internal/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:]))
}
