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

// Exit codes that are not derived from a result code, and the sizes by which
// ExitCode maps result codes to exit codes.
const (
	exitOK        = 0
	exitDifferent = 1
	exitUsage     = 2

	codesPerClass     = 100
	exitCodesPerClass = 10

	outputJSON = "json"
)

// errDifferent is returned if a file differs from the values in force.
var errDifferent = errors.New("the file differs from what is in force")

// globalFlags are the flags common to all commands.
type globalFlags struct {
	Server  []string      `short:"s" long:"server" env:"KUMCTL_SERVER" env-delim:"," default:"127.0.0.1:7080" value-name:"HOST:PORT" description:"Operators' address of an entry VM; give more for others to step in, and one of each zone to see all groups"`
	Key     string        `long:"key" env:"KUMCTL_KEY" value-name:"KEY" description:"Operator's key; not needed on loopback if the entry VM names no operators"`
	Output  string        `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"Form of the output"`
	Timeout time.Duration `long:"timeout" default:"15s" value-name:"TIME" description:"Time that each entry VM gets to answer"`
	TLS     tlsFlags      `group:"Mutual TLS" namespace:"tls" env-namespace:"KUMCTL_TLS"`
}

// tlsFlags are the files for mutual TLS. TLS is off if none is given.
type tlsFlags struct {
	Cert string `long:"cert" env:"CERT" value-name:"FILE" description:"Certificate of the operator, in PEM"`
	Key  string `long:"key" env:"KEY" value-name:"FILE" description:"Private key of the certificate, in PEM"`
	CA   string `long:"ca" env:"CA" value-name:"FILE" description:"Authorities that sign the entry VMs' certificates, in PEM"`
}

func (opts tlsFlags) enabled() bool { return opts.Cert != "" || opts.Key != "" || opts.CA != "" }

// cliApp is one run of the command line.
type cliApp struct {
	globalFlags
	stdout io.Writer
	stderr io.Writer
	stdin  io.Reader
	client *client
}

// ExitCode returns the exit code for a result code: 0 for core.CodeOK, 10 for
// the codes from 100 to 199, 20 for those from 200 to 299, and so on.
func ExitCode(code core.Code) int {
	return int(code) / codesPerClass * exitCodesPerClass
}

// Main runs the command line args and returns the exit code: 0 on success, 1 if
// diff found differences or check-config has findings, 2 if args are invalid or
// check-config can't read a file, or else ExitCode of the result code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	app := &cliApp{stdout: stdout, stderr: stderr, stdin: stdin}
	parser, err := newParser(app)
	if err != nil {
		panic(err)
	}
	_, err = parser.ParseArgs(args)
	return app.exit(err)
}

func (app *cliApp) exit(err error) int {
	var flagErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errDifferent), errors.Is(err, errFindings):
		return exitDifferent
	case errors.Is(err, errUnreadable):
		app.printError(err)
		return exitUsage
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(app.stdout, flagErr.Message)
		return exitOK
	case errors.As(err, &flagErr):
		_, _ = fmt.Fprintln(app.stderr, "kumctl:", flagErr.Message)
		return exitUsage
	}
	app.printError(err)
	return ExitCode(codeOf(err))
}

// printError prints err to stderr in the selected output format.
func (app *cliApp) printError(err error) {
	if app.Output != outputJSON {
		_, _ = fmt.Fprintln(app.stderr, "kumctl:", err)
		return
	}
	out := oper.Failure{Code: codeOf(err), Error: err.Error()}
	var resErr *resultError
	if errors.As(err, &resErr) {
		out = resErr.Failure
	}
	_ = json.NewEncoder(app.stderr).Encode(out)
}

// command is a subcommand with its help texts.
type command struct {
	name    string
	short   string
	long    string
	handler flags.Commander
}

// offlineCommand is a command that needs no entry VM. It must work on machines
// without the operator's certificate.
type offlineCommand interface{ offline() }

func newParser(app *cliApp) (*flags.Parser, error) {
	parser := flags.NewNamedParser("kumctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.NamespaceDelimiter = "-"
	parser.LongDescription = "Kumctl shows and changes what runs on the entry VMs."
	_, err := parser.AddGroup("Global options", "", &app.globalFlags)
	if err != nil {
		return nil, err
	}
	parser.CommandHandler = func(cmd flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q", rest[0])}
		}
		if _, ok := cmd.(offlineCommand); ok {
			return cmd.Execute(rest)
		}
		cl, clientErr := newClient(&app.globalFlags)
		if clientErr != nil {
			return clientErr
		}
		app.client = cl
		return cmd.Execute(rest)
	}
	for _, cmd := range commands(app) {
		_, err = parser.AddCommand(cmd.name, cmd.short, cmd.long, cmd.handler)
		if err != nil {
			return nil, err
		}
	}
	return parser, nil
}

func commands(app *cliApp) []command {
	return []command{
		{"get", "Show the values in force at a node", helpGet, &getCommand{app: app}},
		{"explain", "Show where the values in force come from", helpExplain, &explainCommand{app: app}},
		{"set", "Set a key of a node", helpSet, &setCommand{app: app}},
		{"unset", "Remove a key of a node, which then inherits it", helpUnset, &unsetCommand{app: app}},
		{"diff", "Compare a file with what is in force", helpDiff, &diffCommand{app: app}},
		{"apply", "Bring a file into force", helpApply, &applyCommand{app: app}},
		{"check-config", "Check a configuration of the users' platform before it is sent", helpCheckConfig, &checkConfigCommand{app: app}},
		{"history", "Show the changes of a node", helpHistory, &historyCommand{app: app}},
		{"audit", "Show the changes of all nodes and groups", helpAudit, &auditCommand{app: app}},
		{"outcome", "Show what became of a change", helpOutcome, &outcomeCommand{app: app}},
		{"status", "Show what does not run as it should", helpStatus, &statusCommand{app: app}},
		{"groups", "List the serving groups", helpLists, &groupsCommand{app: app}},
		{"vms", "List the backend servers", helpLists, &vmsCommand{app: app}},
		{"nodes", "List the entry VMs", helpLists, &nodesCommand{app: app}},
		{"drain", "Give a VM, a group or an entry VM no new work", helpDrain, &drainCommand{app: app, on: true}},
		{"undrain", "End a drain", helpDrain, &drainCommand{app: app}},
		{"rule", "Turn on a rule of the log, once all entry VMs know it", helpRule, &ruleCommand{app: app}},
		{"codes", "Explain the result codes", helpCodes, &codesCommand{app: app}},
		{"completion", "Print the completion script of a shell", helpCompletion, &completionCommand{app: app}},
	}
}
