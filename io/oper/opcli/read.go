package opcli

import (
	"io"
	"net/url"
	"slices"
	"strconv"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/tree"
	"kumquathinge/io/oper"
)

type getCommand struct {
	app  *cliApp
	Own  bool `long:"own" description:"Only the values that the node itself sets"`
	Args struct {
		Path pathArg  `positional-arg-name:"PATH" required:"yes"`
		Keys []keyArg `positional-arg-name:"KEY"`
	} `positional-args:"yes"`
}

// Execute prints the values in force at a node.
func (cmd *getCommand) Execute([]string) error {
	settings, err := cmd.app.settings(tree.Path(cmd.Args.Path), false)
	if err != nil {
		return err
	}
	err = filterValues(&settings, cmd.Args.Keys, cmd.Own)
	if err != nil {
		return err
	}
	return cmd.app.printResult(settings, func(w io.Writer) {
		printf(w, "%s  version %d, as of offset %d\n", replaceUnprintable(string(settings.Path)), settings.Version, settings.Applied)
		var rows [][]string
		for _, val := range settings.Values {
			rows = append(rows, []string{val.Key, string(val.Value), string(val.Origin), offsetText(val.Version)})
		}
		writeTable(w, []string{"KEY", "VALUE", "ORIGIN", "VERSION"}, rows)
		if len(cmd.Args.Keys) > 0 {
			return
		}
		for _, child := range settings.Children {
			printf(w, "below: %s\n", replaceUnprintable(string(child)))
		}
	})
}

type explainCommand struct {
	app  *cliApp
	Args struct {
		Path pathArg  `positional-arg-name:"PATH" required:"yes"`
		Keys []keyArg `positional-arg-name:"KEY"`
	} `positional-args:"yes"`
}

// Execute prints the values of each key at a node and its ancestors.
func (cmd *explainCommand) Execute([]string) error {
	settings, err := cmd.app.settings(tree.Path(cmd.Args.Path), true)
	if err != nil {
		return err
	}
	err = filterValues(&settings, cmd.Args.Keys, false)
	if err != nil {
		return err
	}
	return cmd.app.printResult(settings, func(w io.Writer) {
		for _, val := range settings.Values {
			printf(w, "%s = %s  (%s) %s\n", val.Key, replaceUnprintable(string(val.Value)), val.Type, val.Doc)
			for idx, source := range val.Sources {
				writeSource(w, idx == 0, source)
			}
		}
	})
}

func writeSource(w io.Writer, inForce bool, source oper.Source) {
	state := "overridden"
	if inForce {
		state = "in force"
	}
	from := replaceUnprintable(string(source.Path))
	if source.Version > 0 {
		from += " at offset " + offsetText(source.Version)
	}
	printf(w, "  %-10s  %s  from %s\n", state, replaceUnprintable(string(source.Value)), from)
}

func (app *cliApp) settings(path tree.Path, explain bool) (oper.Settings, error) {
	query := url.Values{"path": {string(path)}}
	if explain {
		query.Set("explain", "1")
	}
	var settings oper.Settings
	err := app.client.get("/v1/settings", query, &settings)
	return settings, err
}

// filterValues keeps only the values of the given keys, or of all if keys is
// empty, and with own only those that the node itself sets. It returns an error
// for a key that is not among the values.
func filterValues(settings *oper.Settings, keys []keyArg, own bool) error {
	for _, key := range keys {
		if !slices.ContainsFunc(settings.Values, func(val oper.Setting) bool { return val.Key == string(key) }) {
			return resultErrorf(core.CodeSettingUnknown, "%s: no setting is called %q here", settings.Path, key)
		}
	}
	settings.Values = slices.DeleteFunc(settings.Values, func(val oper.Setting) bool {
		if own && val.Origin != settings.Path {
			return true
		}
		return len(keys) > 0 && !slices.Contains(keys, keyArg(val.Key))
	})
	return nil
}

type historyCommand struct {
	app  *cliApp
	Args struct {
		Path pathArg `positional-arg-name:"PATH" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the changes of a node.
func (cmd *historyCommand) Execute([]string) error {
	var audit oper.Audit
	err := cmd.app.client.get("/v1/settings/history", url.Values{"path": {string(cmd.Args.Path)}}, &audit)
	if err != nil {
		return err
	}
	return cmd.app.printResult(audit, func(w io.Writer) { writeAudit(w, audit) })
}

type auditCommand struct {
	app   *cliApp
	After uint64 `long:"after" value-name:"OFFSET" description:"Only changes behind this offset"`
	Max   uint64 `long:"max" value-name:"N" default:"100" description:"Greatest number of changes"`
}

// Execute prints the changes of all nodes and groups.
func (cmd *auditCommand) Execute([]string) error {
	query := url.Values{
		"after": {strconv.FormatUint(cmd.After, 10)},
		"max":   {strconv.FormatUint(cmd.Max, 10)},
	}
	var audit oper.Audit
	err := cmd.app.client.get("/v1/audit", query, &audit)
	if err != nil {
		return err
	}
	return cmd.app.printResult(audit, func(w io.Writer) { writeAudit(w, audit) })
}

func writeAudit(w io.Writer, audit oper.Audit) {
	var rows [][]string
	for _, line := range audit.Lines {
		rows = append(rows, auditRow(line))
	}
	writeTable(w, []string{"OFFSET", "AT", "BY", "KIND", "OF", "CHANGE", "RESULT", "NOTE"}, rows)
}

func auditRow(line fold.AuditLine) []string {
	change := orDash(line.Old) + " -> " + orDash(line.New)
	if line.Key != "" {
		change = line.Key + ": " + change
	}
	note := line.Note
	if line.Code != core.CodeOK {
		note = line.Detail
	}
	return []string{
		offsetText(line.Offset), line.At.UTC().Format(time.RFC3339), line.By, line.Kind,
		line.Subject, change, codeText(line.Code), note,
	}
}

type outcomeCommand struct {
	app  *cliApp
	Args struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the outcome of a change. For a rejected change it returns an
// error with the code of the rejection.
func (cmd *outcomeCommand) Execute([]string) error {
	var receipt oper.Receipt
	err := cmd.app.client.get("/v1/outcome", url.Values{"id": {cmd.Args.ID}}, &receipt)
	if err != nil {
		return err
	}
	if receipt.State == oper.StateRejected {
		resErr := resultErrorf(receipt.Code, "%s", receipt.Detail)
		resErr.State = receipt.State
		resErr.ID = receipt.ID
		return resErr
	}
	return cmd.app.printResult(receipt, func(w io.Writer) { writeReceipt(w, receipt) })
}

func writeReceipt(w io.Writer, receipt oper.Receipt) {
	printf(w, "%s at offset %d", receipt.State, receipt.Offset)
	if receipt.Path != "" {
		printf(w, "  %s %s", replaceUnprintable(string(receipt.Path)), replaceUnprintable(receipt.Key))
	}
	printf(w, "  id %s\n", replaceUnprintable(string(receipt.ID)))
}
