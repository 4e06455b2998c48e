// Command cases runs the cases of the review. It exits with 1 if a rule was broken, 0 if
// it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

func cannotRun(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(2)
}

func main() {
	if len(os.Args) == 6 && os.Args[1] == "engine" {
		runEngine(os.Args[2], os.Args[3], os.Args[4], os.Args[5])
	}
	if len(os.Args) != 4 {
		cannotRun(fmt.Errorf("usage: cases NAME RECORD TROUBLE"))
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		cannotRun(fmt.Errorf("no case %q", os.Args[1]))
	}
	log := newRecord(os.Args[2])
	broken := run(log, os.Args[3] != "0")
	for _, line := range broken {
		log.add("BROKEN", "rule", line)
		fmt.Println("broken:", line)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	log.add("held")
	fmt.Println("held")
}

var cases = map[string]func(log *record, trouble bool) []string{
	"queue":   queueAtStop,
	"restart": restartWhileFrozen,
}
