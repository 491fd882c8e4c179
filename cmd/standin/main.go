// Program standin runs the stand-ins of the systems around kumquathinge as a
// process, for demonstrations and trials.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"
)

const exitFailed = 1

// options are the modes of the program.
type options struct {
	Log     logCommand     `command:"log" description:"The log service"`
	VMs     vmsCommand     `command:"vms" description:"The list of VMs"`
	Weights weightsCommand `command:"weights" description:"The weight store"`
	Engine  engineCommand  `command:"engine" description:"One model engine"`
	Engines enginesCommand `command:"engines" description:"Many model engines on ports that follow each other"`
	Plain   plainCommand   `command:"plain" description:"One backend server of a plain service"`
}

func main() {
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true})
	logrus.SetOutput(os.Stderr)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := execute(ctx, os.Args[1:])
	if err == nil {
		return
	}
	var fle *flags.Error
	if errors.As(err, &fle) && fle.Type == flags.ErrHelp {
		fmt.Println(fle.Message)
		return
	}
	logrus.WithError(err).Error("stand-in failed")
	os.Exit(exitFailed)
}

// execute parses args and serves the chosen mode until ctx is done.
func execute(ctx context.Context, args []string) error {
	var opt options
	psr := flags.NewParser(&opt, flags.HelpFlag|flags.PassDoubleDash)
	psr.CommandHandler = func(cmd flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return fmt.Errorf("unexpected argument %q", rest[0])
		}
		mod, ok := cmd.(mode)
		if !ok {
			return cmd.Execute(rest)
		}
		return serve(ctx, mod)
	}
	_, err := psr.ParseArgs(args)
	return err
}
