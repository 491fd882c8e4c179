// Command kumentry is the daemon of an entry VM, which forwards callers'
// requests to backend servers. By default it reads its settings from the file
// that an environment variable of the platform names.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"kumquathinge/entry"
	"kumquathinge/platform"
)

type options struct {
	Settings    string `long:"settings" description:"path of the settings file (default: path from the environment)"`
	MetricsPort int    `long:"metrics-port" description:"TCP port that serves metrics, 0 to disable"`
	Check       bool   `long:"check" description:"check the settings and exit"`
}

func main() {
	// Until the node watches its settings, a request to reload them must not end the
	// process. They are about to be read.
	signal.Ignore(syscall.SIGHUP)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	err := run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		cancel()
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	var opt options
	_, err := flags.Parse(&opt)
	var ferr *flags.Error
	if errors.As(err, &ferr) && ferr.Type == flags.ErrHelp {
		return nil
	}
	if err != nil {
		return err
	}
	if opt.Settings == "" {
		opt.Settings = platform.SettingsPath()
	}
	settings, err := platform.LoadSettings(opt.Settings)
	if err != nil || opt.Check {
		return err
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(settings.MemoryBytes * memoryLimitPercent / 100)
	}
	return entry.New(entry.Options{MetricsPort: opt.MetricsPort, SettingsPath: opt.Settings}, settings).Run(ctx)
}

// memoryLimitPercent is the Go memory limit in percent of the VM's memory. It exceeds what
// is held for requests; the rest is left to sockets and the kernel.
const memoryLimitPercent = 70
