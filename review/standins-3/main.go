// Command standins plays one case of the review: it starts the processes of a small deployment, with
// stand-ins for servers, clients and the operator, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// longestRun bounds a case.
const longestRun = 110 * time.Second

var cases = map[string]func(s *site, trouble bool) (int, error){
	"leaving-forgotten": leavingForgotten,
	"wrong-service":     wrongService,
	"stream-lost":       streamLost,
	"last-tenant":       lastTenant,
	"untold-streams":    untoldStreams,
	"upgraded":          upgraded,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE PROGRAM RECORD")
		os.Exit(notRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(notRun)
	}
	s, err := newSite(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s.record.log("case %s, trouble %v", os.Args[1], trouble)
	ended := make(chan int, 1)
	go func() {
		code, err := play(s, trouble)
		if err != nil {
			code = notRun
			s.record.log("the case could not run: %v", err)
			fmt.Fprintln(os.Stderr, err)
		}
		ended <- code
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	code := notRun
	select {
	case code = <-ended:
	case <-signals:
	case <-time.After(longestRun):
	}
	s.record.log("exit code %d", code)
	s.stop()
	os.Exit(code)
}
