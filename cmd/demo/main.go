// Command demo sends the requests of the demonstration and checks the responses.
// The entry VMs and stand-ins must be running; scripts/demo.sh starts them.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

// options holds the addresses of the running processes and the API keys.
type options struct {
	Entries      []string      `long:"entry" required:"true" value-name:"HOST:PORT" description:"callers' address of an entry VM; given four times"`
	Operators    []string      `long:"operators" required:"true" value-name:"HOST:PORT" description:"operators' address of an entry VM; given four times"`
	Fees         string        `long:"fees" required:"true" value-name:"HOST:PORT" description:"plain service that charges fees"`
	AndesKey     string        `long:"andes-key" required:"true" description:"bearer key of Huellas Andinas"`
	KallergisKey string        `long:"kallergis-key" required:"true" description:"bearer key of Kallergis"`
	Timeout      time.Duration `long:"wait" default:"60s" description:"timeout of each request and of each wait"`
}

// check is one check of the demonstration. It returns a summary for the output.
type check struct {
	name string
	run  func() (string, error)
}

func main() {
	var opt options
	_, err := flags.Parse(&opt)
	if err != nil {
		os.Exit(2)
	}
	if len(opt.Entries) < 4 || len(opt.Operators) < 4 {
		fmt.Fprintln(os.Stderr, "demo: four --entry and four --operators addresses are required")
		os.Exit(2)
	}
	os.Exit(runChecks(newChecker(opt).checks()))
}

// runChecks runs the checks in order, prints a line for each and returns the
// exit code.
func runChecks(checks []check) int {
	failed := 0
	for _, chk := range checks {
		begin := time.Now()
		text, err := chk.run()
		took := time.Since(begin).Round(time.Millisecond / 10)
		if err != nil {
			failed++
			fmt.Printf("FAIL %-52s %9s  %v\n", chk.name, took, err)
			continue
		}
		fmt.Printf("ok   %-52s %9s  %s\n", chk.name, took, text)
	}
	fmt.Printf("%d passed, %d failed\n", len(checks)-failed, failed)
	if failed > 0 {
		return 1
	}
	return 0
}
