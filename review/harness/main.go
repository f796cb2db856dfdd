// Command harness shows the faults of review/: each case starts the program under review as
// separate processes on loopback addresses, with clients and servers of its own.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	held     = 0
	broken   = 1
	unusable = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(s *site, trouble bool) (bool, error){
	"versions": versionsCase,
	"partial":  partialCase,
	"records":  recordsCase,
	"leave":    leaveCase,
	"silence":  silenceCase,
	"deadly":   deadlyCase,
}

func main() {
	os.Exit(run())
}

// run expects the name of the case, the program and the folder of the case.
func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE PROGRAM FOLDER")
		return unusable
	}
	play, ok := cases[os.Args[1]]
	program, err := filepath.Abs(os.Args[2])
	if err != nil || !ok {
		fmt.Fprintln(os.Stderr, "unknown case or program", err)
		return unusable
	}
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unusable
	}
	s, err := newSite(program, filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unusable
	}
	defer s.close()
	isBroken, err := play(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return unusable
	case isBroken:
		s.record.printf("the rule was broken")
		fmt.Println("broken")
		return broken
	}
	s.record.printf("the rule held")
	fmt.Println("held")
	return held
}
