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
	apl  *app
	Own  bool `long:"own" description:"Only the values that the node itself sets"`
	Args struct {
		Path pathArg  `positional-arg-name:"PATH" required:"yes"`
		Keys []keyArg `positional-arg-name:"KEY"`
	} `positional-args:"yes"`
}

// Execute shows the values in force.
func (cmd *getCommand) Execute([]string) error {
	set, err := cmd.apl.settings(tree.Path(cmd.Args.Path), false)
	if err != nil {
		return err
	}
	err = keep(&set, cmd.Args.Keys, cmd.Own)
	if err != nil {
		return err
	}
	return cmd.apl.show(set, func(wri io.Writer) {
		printf(wri, "%s  version %d, as of offset %d\n", clean(string(set.Path)), set.Version, set.Applied)
		var rows [][]string
		for _, val := range set.Values {
			rows = append(rows, []string{val.Key, string(val.Value), string(val.Origin), offsetText(val.Version)})
		}
		table(wri, []string{"KEY", "VALUE", "ORIGIN", "VERSION"}, rows)
		if len(cmd.Args.Keys) > 0 {
			return
		}
		for _, chi := range set.Children {
			printf(wri, "below: %s\n", clean(string(chi)))
		}
	})
}

type explainCommand struct {
	apl  *app
	Args struct {
		Path pathArg  `positional-arg-name:"PATH" required:"yes"`
		Keys []keyArg `positional-arg-name:"KEY"`
	} `positional-args:"yes"`
}

// Execute shows where values come from.
func (cmd *explainCommand) Execute([]string) error {
	set, err := cmd.apl.settings(tree.Path(cmd.Args.Path), true)
	if err != nil {
		return err
	}
	err = keep(&set, cmd.Args.Keys, false)
	if err != nil {
		return err
	}
	return cmd.apl.show(set, func(wri io.Writer) {
		for _, val := range set.Values {
			printf(wri, "%s = %s  (%s) %s\n", val.Key, clean(string(val.Value)), val.Type, val.Doc)
			for idx, stp := range val.Sources {
				explainStep(wri, idx == 0, stp)
			}
		}
	})
}

func explainStep(wri io.Writer, inForce bool, stp oper.Source) {
	state := "overridden"
	if inForce {
		state = "in force"
	}
	from := clean(string(stp.Path))
	if stp.Version > 0 {
		from += " at offset " + offsetText(stp.Version)
	}
	printf(wri, "  %-10s  %s  from %s\n", state, clean(string(stp.Value)), from)
}

func (apl *app) settings(pth tree.Path, explain bool) (oper.Settings, error) {
	qry := url.Values{"path": {string(pth)}}
	if explain {
		qry.Set("explain", "1")
	}
	var set oper.Settings
	err := apl.cln.get("/v1/settings", qry, &set)
	return set, err
}

// keep removes the values that were not asked for.
func keep(set *oper.Settings, keys []keyArg, own bool) error {
	for _, key := range keys {
		if !slices.ContainsFunc(set.Values, func(val oper.Setting) bool { return val.Key == string(key) }) {
			return failf(core.CodeSettingUnknown, "%s: no setting is called %q here", set.Path, key)
		}
	}
	set.Values = slices.DeleteFunc(set.Values, func(val oper.Setting) bool {
		if own && val.Origin != set.Path {
			return true
		}
		return len(keys) > 0 && !slices.Contains(keys, keyArg(val.Key))
	})
	return nil
}

type historyCommand struct {
	apl  *app
	Args struct {
		Path pathArg `positional-arg-name:"PATH" required:"yes"`
	} `positional-args:"yes"`
}

// Execute shows the changes of a node.
func (cmd *historyCommand) Execute([]string) error {
	var aud oper.Audit
	err := cmd.apl.cln.get("/v1/settings/history", url.Values{"path": {string(cmd.Args.Path)}}, &aud)
	if err != nil {
		return err
	}
	return cmd.apl.show(aud, func(wri io.Writer) { auditTable(wri, aud) })
}

type auditCommand struct {
	apl   *app
	After uint64 `long:"after" value-name:"OFFSET" description:"Only changes behind this offset"`
	Max   uint64 `long:"max" value-name:"N" default:"100" description:"Greatest number of changes"`
}

// Execute shows the changes of all nodes.
func (cmd *auditCommand) Execute([]string) error {
	qry := url.Values{
		"after": {strconv.FormatUint(cmd.After, 10)},
		"max":   {strconv.FormatUint(cmd.Max, 10)},
	}
	var aud oper.Audit
	err := cmd.apl.cln.get("/v1/audit", qry, &aud)
	if err != nil {
		return err
	}
	return cmd.apl.show(aud, func(wri io.Writer) { auditTable(wri, aud) })
}

func auditTable(wri io.Writer, aud oper.Audit) {
	var rows [][]string
	for _, lin := range aud.Lines {
		rows = append(rows, auditRow(lin))
	}
	table(wri, []string{"OFFSET", "AT", "BY", "KIND", "OF", "CHANGE", "RESULT", "NOTE"}, rows)
}

func auditRow(lin fold.AuditLine) []string {
	change := orDash(lin.Old) + " -> " + orDash(lin.New)
	if lin.Key != "" {
		change = lin.Key + ": " + change
	}
	note := lin.Note
	if lin.Code != core.CodeOK {
		note = lin.Detail
	}
	return []string{
		offsetText(lin.Offset), lin.At.UTC().Format(time.RFC3339), lin.By, lin.Kind,
		lin.Subject, change, codeText(lin.Code), note,
	}
}

type outcomeCommand struct {
	apl  *app
	Args struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

// Execute shows what became of a change. Its error carries the code of a
// rejected change.
func (cmd *outcomeCommand) Execute([]string) error {
	var rec oper.Receipt
	err := cmd.apl.cln.get("/v1/outcome", url.Values{"id": {cmd.Args.ID}}, &rec)
	if err != nil {
		return err
	}
	if rec.State == oper.StateRejected {
		flr := failf(rec.Code, "%s", rec.Detail)
		flr.State = rec.State
		flr.ID = rec.ID
		return flr
	}
	return cmd.apl.show(rec, func(wri io.Writer) { receiptLine(wri, rec) })
}

func receiptLine(wri io.Writer, rec oper.Receipt) {
	printf(wri, "%s at offset %d", rec.State, rec.Offset)
	if rec.Path != "" {
		printf(wri, "  %s %s", clean(string(rec.Path)), clean(rec.Key))
	}
	printf(wri, "  id %s\n", clean(string(rec.ID)))
}
