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
	Config string `long:"config" short:"c" required:"true" value-name:"FILE" description:"start file in JSON"`
	Check  bool   `long:"check" description:"check the start file and the files that it names, and exit"`
	Level  string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warning" choice:"error" description:"lowest level that is logged"`
}

func main() { os.Exit(start(os.Args[1:])) }

// start runs the daemon and returns its exit code.
func start(args []string) int {
	var opt options
	_, err := flags.NewParser(&opt, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	if err != nil {
		return usage(err)
	}
	cfg, err := check(opt.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if opt.Check {
		fmt.Println("start file is valid")
		return exitOK
	}
	err = serve(cfg, newLogger(opt.Level))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}

// check reads the start file and the files that it names.
func check(path string) (node.Config, error) {
	cfg, err := node.ReadConfig(path)
	if err != nil {
		return cfg, err
	}
	_, err = cfg.TLS.Load(time.Now())
	return cfg, err
}

// usage prints help or a flag error.
func usage(err error) int {
	var fer *flags.Error
	if errors.As(err, &fer) && fer.Type == flags.ErrHelp {
		fmt.Println(err)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return exitUsage
}

// newLogger returns a logger that writes one key=value line an event.
func newLogger(lvl string) *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	got, err := logrus.ParseLevel(lvl)
	if err == nil {
		log.SetLevel(got)
	}
	return log
}

// serve runs the node until SIGTERM or SIGINT.
func serve(cfg node.Config, log *logrus.Logger) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	nod, err := node.Build(cfg, log)
	if err != nil {
		return err
	}
	return nod.Run(ctx)
}
