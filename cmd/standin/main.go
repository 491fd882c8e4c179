// Command standin runs stand-ins of the systems that kumquathinge depends on, for
// demonstrations and tests.
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

// options holds the subcommands, one for each kind of stand-in.
type options struct {
	Log     logCommand     `command:"log" description:"The log service"`
	VMs     vmsCommand     `command:"vms" description:"The list of VMs"`
	Weights weightsCommand `command:"weights" description:"The weight store"`
	Engine  engineCommand  `command:"engine" description:"One model engine"`
	Engines enginesCommand `command:"engines" description:"Several model engines on consecutive ports"`
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
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Println(flagErr.Message)
		return
	}
	logrus.WithError(err).Error("stand-in failed")
	os.Exit(exitFailed)
}

// execute parses args and runs the chosen subcommand until ctx is done.
func execute(ctx context.Context, args []string) error {
	var opt options
	parser := flags.NewParser(&opt, flags.HelpFlag|flags.PassDoubleDash)
	parser.CommandHandler = func(cmd flags.Commander, extra []string) error {
		if len(extra) > 0 {
			return fmt.Errorf("unexpected argument %q", extra[0])
		}
		sub, ok := cmd.(standInCommand)
		if !ok {
			return cmd.Execute(extra)
		}
		return serve(ctx, sub)
	}
	_, err := parser.ParseArgs(args)
	return err
}
