// Command kumtrace prints from the logs of several nodes how one request was
// handled: the lines of the request, and the state of its servers, groups and
// nodes at that time.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"kumquathinge/core/story"
)

type options struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"attempt ID of the request"`
		Files []string `positional-arg-name:"FILE" description:"log files of nodes" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	var opt options
	_, err := flags.Parse(&opt)
	var ferr *flags.Error
	if errors.As(err, &ferr) && ferr.Type == flags.ErrHelp {
		return nil
	}
	if err != nil {
		return err
	}
	var lines []story.Line
	for _, path := range opt.Args.Files {
		fileLines, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	traced := story.Trace(lines, opt.Args.ID)
	if len(traced) == 0 {
		return eris.Errorf("no log line names request %s", opt.Args.ID)
	}
	for _, line := range traced {
		fmt.Println(line.Text())
	}
	return nil
}

func readLog(path string) ([]story.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return story.Read(file)
}
