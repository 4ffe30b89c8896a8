// Command lab runs the cases of the review. Each case starts the project's own programs as
// separate processes on loopback addresses, with stand-ins of the platform's store, of
// instances and of clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases runs a case and reports whether the rule was broken. trouble is false for a run
// without the disruption.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"truncated": truncatedAnswer,
	"readers":   killedReaders,
	"herd":      departureAfterKill,
	"frozen":    frozenSource,
	"clock":     restartAfterClockStep,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "instance" {
		if err := runInstance(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, "instance:", err)
			os.Exit(exitNotRun)
		}
		return
	}
	os.Exit(runCase(os.Args[1:]))
}

// runCase runs the case that the arguments name. The record goes to the folder in the second
// argument.
func runCase(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		return exitNotRun
	}
	f, err := os.Create(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitNotRun
	}
	defer f.Close()
	rec := &record{f: f, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %t", args[0], trouble)
	broken, err := cases[args[0]](rec, trouble)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		rec.printf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
