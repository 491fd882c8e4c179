package main

import (
	"flag"
	"fmt"
	"os"
)

// Results of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// options are the flags of a case.
type options struct {
	program string
	trouble bool
	keep    bool
	// events is the number of events of an answer before the crash.
	events int
	// turns is the number of parts of a long conversation before the deadly one.
	turns int
}

// cases maps the names of the cases to what plays them.
var cases = map[string]func(rec *record, opt options) (broken bool, err error){
	"crashing-request": playCrashingRequest,
	"idle-users":       playIdleUsers,
	"crashing-part":    playCrashingPart,
	"late-part":        playLatePart,
	"long-headers":     playLongHeaders,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file that is written")
	opt := options{}
	flag.StringVar(&opt.program, "program", "", "path of the daemon")
	flag.BoolVar(&opt.trouble, "trouble", true, "play the disruption")
	flag.IntVar(&opt.events, "events", 1, "number of events of an answer before the crash")
	flag.IntVar(&opt.turns, "turns", 33, "number of parts of a prompt before the deadly one")
	flag.BoolVar(&opt.keep, "keep", false, "keep the logs of the daemons")
	flag.Parse()
	os.Exit(run(*name, *path, opt))
}

func run(name, path string, opt options) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = rec.file.Close() }()
	broken, err := play(rec, opt)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		rec.printf("result: the rule was broken")
		return exitBroken
	}
	rec.printf("result: the rule held")
	return exitHeld
}
