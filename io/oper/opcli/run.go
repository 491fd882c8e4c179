package opcli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"kumquathinge/core"
	"kumquathinge/io/oper"
)

// Exit codes that do not come from a result code.
const (
	exitOK        = 0
	exitDifferent = 1
	exitUsage     = 2

	codesPerHundred = 100
	exitsPerHundred = 10

	outputJSON = "json"
)

// errDifferent tells that a file differs from what is in force.
var errDifferent = errors.New("the file differs from what is in force")

// globals are the flags of every command.
type globals struct {
	Server  []string      `short:"s" long:"server" env:"KUMCTL_SERVER" env-delim:"," default:"127.0.0.1:7080" value-name:"HOST:PORT" description:"Operators' address of an entry VM; give more for others to step in, and one of each zone to see all groups"`
	Key     string        `long:"key" env:"KUMCTL_KEY" value-name:"KEY" description:"Operator's key; not needed on loopback if the entry VM names no operators"`
	Output  string        `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"Form of the output"`
	Timeout time.Duration `long:"timeout" default:"15s" value-name:"TIME" description:"Time that each entry VM gets to answer"`
	TLS     tlsFlags      `group:"Mutual TLS" namespace:"tls" env-namespace:"KUMCTL_TLS"`
}

// tlsFlags name the files for mutual TLS. Without any, there is no TLS.
type tlsFlags struct {
	Cert string `long:"cert" env:"CERT" value-name:"FILE" description:"Certificate of the operator, in PEM"`
	Key  string `long:"key" env:"KEY" value-name:"FILE" description:"Private key of the certificate, in PEM"`
	CA   string `long:"ca" env:"CA" value-name:"FILE" description:"Authorities that sign the entry VMs' certificates, in PEM"`
}

func (flg tlsFlags) enabled() bool { return flg.Cert != "" || flg.Key != "" || flg.CA != "" }

// app is one run of the command line.
type app struct {
	globals
	out  io.Writer
	errw io.Writer
	in   io.Reader
	cln  *client
}

// ExitCode returns the exit code for a result code: 0 for core.CodeOK, 10 for
// the codes from 100 to 199, 20 for those from 200 to 299, and so on.
func ExitCode(cod core.Code) int {
	return int(cod) / codesPerHundred * exitsPerHundred
}

// Main runs the command line args and returns the exit code: that of the
// result code, 1 if diff found differences, or 2 if args are wrong.
func Main(args []string, in io.Reader, out, errw io.Writer) int {
	apl := &app{out: out, errw: errw, in: in}
	psr, err := newParser(apl)
	if err != nil {
		panic(err)
	}
	_, err = psr.ParseArgs(args)
	return apl.exit(err)
}

func (apl *app) exit(err error) int {
	var fle *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errDifferent):
		return exitDifferent
	case errors.As(err, &fle) && fle.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(apl.out, fle.Message)
		return exitOK
	case errors.As(err, &fle):
		_, _ = fmt.Fprintln(apl.errw, "kumctl:", fle.Message)
		return exitUsage
	}
	apl.showError(err)
	return ExitCode(codeOf(err))
}

// showError prints err in the form of the output.
func (apl *app) showError(err error) {
	if apl.Output != outputJSON {
		_, _ = fmt.Fprintln(apl.errw, "kumctl:", err)
		return
	}
	out := oper.Failure{Code: codeOf(err), Error: err.Error()}
	var flr *failure
	if errors.As(err, &flr) {
		out = flr.Failure
	}
	_ = json.NewEncoder(apl.errw).Encode(out)
}

// command is a command with its help.
type command struct {
	name  string
	short string
	long  string
	data  flags.Commander
}

func newParser(apl *app) (*flags.Parser, error) {
	psr := flags.NewNamedParser("kumctl", flags.HelpFlag|flags.PassDoubleDash)
	psr.NamespaceDelimiter = "-"
	psr.LongDescription = "Kumctl shows and changes what runs on the entry VMs."
	_, err := psr.AddGroup("Global options", "", &apl.globals)
	if err != nil {
		return nil, err
	}
	psr.CommandHandler = func(cmd flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q", rest[0])}
		}
		cln, clnErr := newClient(&apl.globals)
		if clnErr != nil {
			return clnErr
		}
		apl.cln = cln
		return cmd.Execute(rest)
	}
	for _, cmd := range commands(apl) {
		_, err = psr.AddCommand(cmd.name, cmd.short, cmd.long, cmd.data)
		if err != nil {
			return nil, err
		}
	}
	return psr, nil
}

func commands(apl *app) []command {
	return []command{
		{"get", "Show the values in force at a node", helpGet, &getCommand{apl: apl}},
		{"explain", "Show where the values in force come from", helpExplain, &explainCommand{apl: apl}},
		{"set", "Set a key of a node", helpSet, &setCommand{apl: apl}},
		{"unset", "Remove a key of a node, which then inherits it", helpUnset, &unsetCommand{apl: apl}},
		{"diff", "Compare a file with what is in force", helpDiff, &diffCommand{apl: apl}},
		{"apply", "Bring a file into force", helpApply, &applyCommand{apl: apl}},
		{"history", "Show the changes of a node", helpHistory, &historyCommand{apl: apl}},
		{"audit", "Show the changes of all nodes and groups", helpAudit, &auditCommand{apl: apl}},
		{"outcome", "Show what became of a change", helpOutcome, &outcomeCommand{apl: apl}},
		{"status", "Show what does not run as it should", helpStatus, &statusCommand{apl: apl}},
		{"groups", "List the serving groups", helpLists, &groupsCommand{apl: apl}},
		{"vms", "List the backend servers", helpLists, &vmsCommand{apl: apl}},
		{"nodes", "List the entry VMs", helpLists, &nodesCommand{apl: apl}},
		{"drain", "Give a VM, a group or an entry VM no new work", helpDrain, &drainCommand{apl: apl, on: true}},
		{"undrain", "End a drain", helpDrain, &drainCommand{apl: apl}},
		{"codes", "Explain the result codes", helpCodes, &codesCommand{apl: apl}},
		{"completion", "Print the completion script of a shell", helpCompletion, &completionCommand{apl: apl}},
	}
}
