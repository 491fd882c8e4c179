// Command kumquathinged is the daemon of an entry VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"kumquathinge/node"
)

// Exit codes of the daemon.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// options are the flags of the daemon.
type options struct {
	ConfigPath string `long:"config" short:"c" required:"true" value-name:"FILE" description:"start file in JSON"`
	Check      bool   `long:"check" description:"check the start file and the files that it names, and exit"`
	LogLevel   string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warning" choice:"error" description:"lowest level that is logged"`
}

func main() { os.Exit(run(os.Args[1:])) }

// run executes the command line and returns the exit code.
func run(args []string) int {
	var opt options
	_, err := flags.NewParser(&opt, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	if err != nil {
		return printFlagError(err)
	}
	cfg, err := loadConfig(opt.ConfigPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if opt.Check {
		fmt.Println("start file is valid")
		return exitOK
	}
	err = serve(cfg, newLogger(opt.LogLevel))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}

// loadConfig reads the start file and checks the TLS files that it names.
func loadConfig(path string) (node.Config, error) {
	cfg, err := node.ReadConfig(path)
	if err != nil {
		return cfg, err
	}
	_, err = cfg.TLS.Load(time.Now())
	return cfg, err
}

// printFlagError prints the help text or a flag error and returns the exit code.
func printFlagError(err error) int {
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Println(err)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return exitUsage
}

// newLogger returns a logger that writes one line of key=value pairs per event.
func newLogger(lvl string) *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	parsed, err := logrus.ParseLevel(lvl)
	if err == nil {
		log.SetLevel(parsed)
	}
	return log
}

// serve runs the node until SIGTERM or SIGINT.
func serve(cfg node.Config, log *logrus.Logger) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	nd, err := node.Build(cfg, log)
	if err != nil {
		return err
	}
	return nd.Run(ctx)
}
