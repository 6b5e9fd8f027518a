// Command rig2 plays the script cases of the second review: it starts entries and agents of
// hickoryhook as separate processes on loopback addresses, with stand-ins of the store, the
// routers, the endpoints and the consumers, and judges one rule.
//
// Usage, from the root of the repository:
//
//	rig2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// errBroken reports that the rule of a case was broken.
type errBroken string

func (e errBroken) Error() string { return string(e) }

// cases maps the names of the cases to the functions that play them.
var cases = map[string]func(r *record, trouble bool) error{
	"other-writer": playOtherWriter,
	"late-ping":    playLatePing,
	"late-reset":   playLateReset,
	"power-off":    playPowerOff,
	"first-ping":   playFirstPing,
	"reset":        playReset,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		return 2
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ended := make(chan error, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, with the disruption: %v", os.Args[1], trouble)
	go func() { ended <- cases[os.Args[1]](r, trouble) }()
	select {
	case <-signals:
		err = fmt.Errorf("interrupted")
	case err = <-ended:
	}
	switch err := err.(type) {
	case nil:
		r.add("the rule held")
		fmt.Println("the rule held")
		return 0
	case errBroken:
		r.add("the rule was broken: %s", err)
		fmt.Println("the rule was broken:", err)
		return 1
	default:
		r.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	}
}
