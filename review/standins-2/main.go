// Command standins2 runs the scripts of the review's cases: it starts the project's programs as
// processes of their own and plays clients, backend servers, the operator and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// runCase is a case: it returns what was broken, in words, or nothing.
type runCase func(s *site, trouble bool) (broken []string, err error)

var cases = map[string]runCase{
	"signals-in-series":   playSignals,
	"part-far-back":       playPartFarBack,
	"part-known-as-sound": playPartKnownAsSound,
	"back-at-version":     playVersions,
	"records-lost":        playTakeUps,
	"continue":            playContinue,
}

// envNumber returns the number in an environment variable, or the default without one.
func envNumber(name string, byDefault int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return byDefault
	}
	return n
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs one case and writes record.txt in its folder.
func play(name, folder string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitCannotRun
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.file.Close()
	s, err := newSite(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer s.close()
	broken, err := run(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.line("result: cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return exitCannotRun
	case len(broken) > 0:
		for _, b := range broken {
			rec.line("result: broken: %s", b)
			fmt.Println("broken:", b)
		}
		return exitBroken
	}
	rec.line("result: held")
	fmt.Println("held")
	return exitHeld
}
