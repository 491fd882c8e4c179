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

// loadCommand is the subcommand press, which generates load on running
// processes.
type loadCommand struct {
	EntryVM     string        `long:"front" description:"address of an entry VM, host:port"`
	APIKey      string        `long:"key" description:"API key for the entry VM"`
	Engine      string        `long:"engine" description:"address of a model engine to measure too, host:port"`
	Model       string        `long:"model" description:"name of the model"`
	Prompt      string        `long:"prompt" default:"Write an alert. Case " description:"prompt, followed by the request's number"`
	MaxTokens   int           `long:"max-tokens" default:"32" description:"maximum number of tokens per response"`
	Unstreamed  bool          `long:"whole" description:"request responses without streaming from the entry VM"`
	Rate        float64       `long:"rate" default:"20" description:"requests per second"`
	Duration    time.Duration `long:"for" default:"10s" description:"duration in which requests start"`
	MaxInFlight int           `long:"in-flight" default:"256" description:"maximum number of concurrent requests"`
	Timeout     time.Duration `long:"timeout" default:"60s" description:"timeout of one request"`
}

// Execute measures the engine and then the entry VM, and prints a line for each.
func (cmd *loadCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	targets, err := cmd.targets()
	if err != nil {
		return err
	}
	tab := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tab, "target\tsent\twhole\trefused\tbroken\tskipped\ttokens/s\t"+
		"first p50\tp99\tbetween p50\tp99\tend p50\tp99\t")
	for _, target := range targets {
		rep := press.Run(ctx, press.Config{
			Target: target, Rate: cmd.Rate, Duration: cmd.Duration, MaxInFlight: cmd.MaxInFlight, Timeout: cmd.Timeout,
		})
		printReport(tab, target, rep)
		if err == nil {
			err = rep.Err()
		}
	}
	_ = tab.Flush()
	return err
}

func (cmd *loadCommand) targets() ([]press.Target, error) {
	if !(cmd.Rate > 0) || cmd.Duration <= 0 || cmd.MaxInFlight <= 0 || cmd.Timeout <= 0 {
		return nil, core.Errorf(core.CodeConfigInvalid, "--rate, --for, --in-flight and --timeout must be positive")
	}
	prompt := press.Prompt{Model: core.ModelName(cmd.Model), Text: cmd.Prompt, MaxTokens: cmd.MaxTokens}
	var out []press.Target
	if cmd.Engine != "" {
		eng, err := press.NewEngine(cmd.Engine, fmt.Sprint("press-", time.Now().UnixNano()), prompt)
		if err != nil {
			return nil, err
		}
		out = append(out, eng)
	}
	if cmd.EntryVM != "" {
		out = append(out, &press.EntryVM{Host: cmd.EntryVM, APIKey: cmd.APIKey, Prompt: prompt, Stream: !cmd.Unstreamed})
	}
	if len(out) == 0 {
		return nil, core.Errorf(core.CodeConfigInvalid, "--front or --engine is required")
	}
	return out, nil
}

func printReport(out io.Writer, target press.Target, rep *press.Report) {
	_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t", target.Addr(),
		rep.Sent, rep.Complete, rep.Refused, rep.Incomplete, rep.Skipped, float64(rep.Tokens)/rep.Elapsed.Seconds())
	for _, hist := range []*hdrhistogram.Histogram{rep.FirstToken, rep.InterToken, rep.Completion} {
		_, _ = fmt.Fprintf(out, "%v\t%v\t", press.Percentile(hist, 50), press.Percentile(hist, 99))
	}
	_, _ = fmt.Fprintln(out)
}
