// Command harness-2 plays the script cases of the second review. It starts the project's
// programs as separate processes against small stand-ins of the platform, on loopback.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// cases are the cases by name. A case notes broken rules in the record; its error means
// that it could not run.
var cases = map[string]func(r *record, trouble bool) error{
	"odd-entry":          playOddEntry,
	"hangup-in-shutdown": playHangup,
	"other-kind":         playOtherKind,
	"lasting-task":       playLastingTask,
	"many-checkpoints":   playManyCheckpoints,
}

// maxCaseTime bounds a case.
const maxCaseTime = 115 * time.Second

func main() { os.Exit(playCase()) }

func playCase() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNoRun
	}
	if _, err := os.Stat(daemonPath); err != nil {
		fmt.Fprintln(os.Stderr, "build the programs first:", err)
		return exitNoRun
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, trouble %t", *name, trouble)
	go endEarly(r)
	if err := play(r, trouble); err != nil {
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNoRun
	}
	broken := r.breaches()
	r.note("end: %d breaches", len(broken))
	if len(broken) == 0 {
		fmt.Println("the rules held")
		return exitHeld
	}
	fmt.Printf("%d breaches, the first: %s\n", len(broken), broken[0])
	return exitBroken
}

// endEarly ends the processes and the case on a signal, or when the case takes too long.
func endEarly(r *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxCaseTime):
	}
	r.note("the case is ended before its time")
	killProcesses()
	os.Exit(exitNoRun)
}
