// Command rig runs one case of the review: it starts the project's programs as separate
// processes on loopback addresses, with stand-ins for the platform's store and routers, for
// endpoints and for consumers, and judges what these see.
//
//	rig CASE -program PATH -record FILE [-keep DIR]
//
// With TROUBLE=0 in the environment it leaves out the disruption. It exits with 1 if a rule
// was broken, 0 if all held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const longest = 115 * time.Second

var cases = map[string]func(w *world, trouble bool) error{
	"join":     runJoin,
	"killed":   runKilled,
	"longflow": runLongFlow,
	"lateping": runLatePing,
}

func main() { os.Exit(run()) }

func run() int {
	flags := flag.NewFlagSet("rig", flag.ContinueOnError)
	program := flags.String("program", "target/hickoryhook", "")
	recordPath := flags.String("record", "record.txt", "")
	keep := flags.String("keep", "", "folder in which the processes' settings and logs stay")
	if len(os.Args) < 2 || flags.Parse(os.Args[2:]) != nil || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE -program PATH -record FILE [-keep DIR]")
		return 2
	}
	record, err := os.Create(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w, err := newWorld(dir, *program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %t", os.Args[1], trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](w, trouble) }()
	select {
	case err = <-done:
	case s := <-stop:
		err = fmt.Errorf("stopped by %s", s)
	case <-time.After(longest):
		err = fmt.Errorf("the case took longer than %s", longest)
	}
	w.mu.Lock()
	breaks, runs := w.breaks, w.runs
	w.mu.Unlock()
	w.close()
	w.note("%d requests sent, %d runs, %d broken rules, error: %v", len(w.sent), runs, breaks, err)
	fmt.Printf("%s trouble=%t: %d requests sent, %d runs, %d broken rules, error: %v\n", os.Args[1], trouble, len(w.sent), runs, breaks, err)
	switch {
	case err != nil:
		return 2
	case breaks > 0:
		return 1
	}
	return 0
}
