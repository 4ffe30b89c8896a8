// Command harness-2 runs one case of the second review: it starts nodes as separate processes beside
// stand-ins of the platform's store, of instances and of clients, and checks one rule from what they
// observe. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

// scenario runs a case and reports whether the rule was broken.
type scenario func(f *fleet, trouble bool) (broken bool, err error)

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"lifted-limit": liftedLimit,
	"poison":       poison,
	"popular-read": popularRead,
	"capital-host": capitalHost,
	"cold-again":   coldAgain,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 SCENARIO FOLDER")
		os.Exit(2)
	}
	broken, err := run(os.Args[1], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// run runs the scenario and writes the record into the folder.
func run(name, folder string) (bool, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	defer func() { _ = record.Close() }()
	f, err := newFleet(record)
	if err != nil {
		return false, err
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	f.note("scenario %s, trouble %t", name, trouble)
	broken, err := scenarios[name](f, trouble)
	switch {
	case err != nil:
		f.note("the case could not run: %v", err)
	case broken:
		f.note("the rule was broken")
	default:
		f.note("the rule held")
	}
	return broken, err
}
