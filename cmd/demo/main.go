// Command demo sends the requests of the demonstration and checks the answers.
//
// It expects running entry VMs and stand-ins; scripts/demo.sh starts them.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

// options are the addresses of the running processes.
type options struct {
	Entries   []string      `long:"entry" required:"true" value-name:"HOST:PORT" description:"callers' address of an entry VM; given four times"`
	Operators []string      `long:"operators" required:"true" value-name:"HOST:PORT" description:"operators' address of an entry VM; given four times"`
	Fees      string        `long:"fees" required:"true" value-name:"HOST:PORT" description:"plain service that charges fees"`
	AndesKey  string        `long:"andes-key" required:"true" description:"bearer key of Huellas Andinas"`
	GreekKey  string        `long:"kallergis-key" required:"true" description:"bearer key of Kallergis"`
	Wait      time.Duration `long:"wait" default:"60s" description:"bound of the wait for the groups"`
}

// check is one step of the demonstration.
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
		fmt.Fprintln(os.Stderr, "demo: four entry VMs are needed")
		os.Exit(2)
	}
	os.Exit(runChecks(newDemo(opt).checks()))
}

// runChecks runs the checks in order, prints a line for each and returns the
// exit code.
func runChecks(chks []check) int {
	failed := 0
	for _, chk := range chks {
		beg := time.Now()
		txt, err := chk.run()
		took := time.Since(beg).Round(time.Millisecond / 10)
		if err != nil {
			failed++
			fmt.Printf("FAIL %-52s %9s  %v\n", chk.name, took, err)
			continue
		}
		fmt.Printf("ok   %-52s %9s  %s\n", chk.name, took, txt)
	}
	fmt.Printf("%d passed, %d failed\n", len(chks)-failed, failed)
	if failed > 0 {
		return 1
	}
	return 0
}
