// Command harness runs the cases of the review: it starts the system's processes
// against stand-ins of the platform and judges one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRecordedBreaks limits the lines about broken rules in record.txt.
const maxRecordedBreaks = 200

// scenario runs a case and returns how the rule was broken. trouble is false for
// the same without the disruption.
type scenario func(dir, binary string, rec *recorder, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	// the cases, in the order of their folders
	"forgotten-end":  forgottenEnd,
	"hidden-ends":    hiddenEnds,
	"due-occurrence": dueOccurrence,
	"reborn":         reborn,
	"lasting-done":   lastingDone,
	// further faults, see REPORT.md
	"many-times":    manyTimes,
	"foreign-reply": foreignReply,
	"drained-cut":   drainedCut,
	"leader-cut":    leaderCut,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness SCENARIO FOLDER")
		return exitNotRun
	}
	dir := os.Args[2]
	binary, err := filepath.Abs(filepath.Join(dir, "..", "..", "target", "mangodrumd"))
	if err == nil {
		_, err = os.Stat(binary)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "run the build of the deploy file first:", err)
		return exitNotRun
	}
	rec, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case", "%s, with the disruption: %t", os.Args[1], trouble)
	broken, err := scenarios[os.Args[1]](dir, binary, rec, trouble)
	if err != nil {
		rec.note("case", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	for n, line := range broken {
		if n < maxRecordedBreaks {
			rec.note("check", "%s", line)
		}
		if n < 8 {
			fmt.Println(line)
		}
	}
	if len(broken) > 0 {
		fmt.Printf("the rule is broken (%d times)\n", len(broken))
		return exitBroken
	}
	rec.note("check", "the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
