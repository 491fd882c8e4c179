package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kumquathinge/cmd/exper/press"
	"kumquathinge/core"
)

// pressCommand is the command that drives real processes.
type pressCommand struct {
	Front     string        `long:"front" description:"entry VM to drive, host:port"`
	Key       string        `long:"key" description:"key for the entry VM"`
	Engine    string        `long:"engine" description:"model engine to drive too, host:port"`
	Model     string        `long:"model" description:"model to ask for"`
	Prompt    string        `long:"prompt" default:"Write an alert. Case " description:"prompt; a number is added"`
	MaxTokens int           `long:"max-tokens" default:"32" description:"tokens of one answer"`
	Whole     bool          `long:"whole" description:"ask the entry VM for answers in one piece"`
	Rate      float64       `long:"rate" default:"20" description:"requests per second"`
	For       time.Duration `long:"for" default:"10s" description:"time in which requests start"`
	InFlight  int           `long:"in-flight" default:"256" description:"requests at once"`
	Timeout   time.Duration `long:"timeout" default:"60s" description:"of one answer"`
}

// Execute drives the engine and then the entry VM, and prints a line for each.
func (cmd *pressCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	tgts, err := cmd.targets()
	if err != nil {
		return err
	}
	tab := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tab, "target\tsent\twhole\trefused\tbroken\tskipped\ttokens/s\t"+
		"first p50\tp99\tbetween p50\tp99\tend p50\tp99\t")
	for _, tgt := range tgts {
		rep := press.Run(ctx, press.Config{
			Target: tgt, Rate: cmd.Rate, For: cmd.For, InFlight: cmd.InFlight, Timeout: cmd.Timeout,
		})
		printReport(tab, tgt, rep)
		if err == nil {
			err = rep.Err()
		}
	}
	_ = tab.Flush()
	return err
}

func (cmd *pressCommand) targets() ([]press.Target, error) {
	if !(cmd.Rate > 0) || cmd.For <= 0 || cmd.InFlight <= 0 || cmd.Timeout <= 0 {
		return nil, core.Errorf(core.CodeConfigInvalid, "--rate, --for, --in-flight and --timeout must be positive")
	}
	pmt := press.Prompt{Model: core.ModelName(cmd.Model), Text: cmd.Prompt, MaxTokens: cmd.MaxTokens}
	var out []press.Target
	if cmd.Engine != "" {
		eng, err := press.NewEngine(cmd.Engine, fmt.Sprint("press-", time.Now().UnixNano()), pmt)
		if err != nil {
			return nil, err
		}
		out = append(out, eng)
	}
	if cmd.Front != "" {
		out = append(out, &press.Front{Host: cmd.Front, Key: cmd.Key, Prompt: pmt, Stream: !cmd.Whole})
	}
	if len(out) == 0 {
		return nil, core.Errorf(core.CodeConfigInvalid, "--front or --engine is needed")
	}
	return out, nil
}

func printReport(out io.Writer, tgt press.Target, rep *press.Report) {
	_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t", tgt.Addr(),
		rep.Sent, rep.Whole, rep.Refused, rep.Broken, rep.Skipped, float64(rep.Tokens)/rep.Elapsed.Seconds())
	for _, his := range []*hdrhistogram.Histogram{rep.First, rep.Between, rep.Last} {
		_, _ = fmt.Fprintf(out, "%v\t%v\t", press.Quantile(his, 50), press.Quantile(his, 99))
	}
	_, _ = fmt.Fprintln(out)
}
