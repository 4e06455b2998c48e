// Command cases plays the cases of the review against the system's own daemons.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// play plays a case and returns whether the rule held.
type play func(root string, rec *recorder, trouble bool) (int, error)

func main() {
	cases := map[string]play{"twice": playTwice, "crash": playCrash, "exit": playExit, "keys": playKeys, "stranger": playStranger, "recover": playRecover}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME ROOT FOLDER")
		os.Exit(cannot)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	rec, err := newRecorder(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	code, err := cases[os.Args[1]](root, rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		rec.logf("the case can't run: %v", err)
		code = cannot
	}
	rec.close()
	os.Exit(code)
}

// summary prints a line and records it.
func summary(rec *recorder, format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	rec.logf(format, args...)
}
