// Command rig3 plays the cases of the third review against the project's own programs.
//
//	rig3 CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
// the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(*site, bool) (string, error){
	"service-name": serviceName,
	"hangup":       hangup,
	"strays":       strays,
	"late-pings":   latePings,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(run())
}

func run() int {
	// Processes are started with the default action of SIGHUP, also if this one was started with SIGHUP
	// ignored, as by nohup.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.f.Close()
	s, err := newSite(os.Args[2], dir, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	s.close()
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	case broken != "":
		rec.line("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		return 1
	}
	rec.line("held")
	fmt.Println("held")
	return 0
}
