package opcli

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/core/tree"
	"kumquathinge/io/oper"
)

// changeFlags are the flags of the commands that change a setting.
type changeFlags struct {
	Base *uint64 `long:"base" value-name:"VERSION" description:"Version of the node that the change was made from; the present one if not given"`
	Note string  `long:"note" value-name:"TEXT" description:"Reason, for the audit trail"`
	ID   string  `long:"id" value-name:"UUID" description:"ID of the change, to send one again whose outcome is unknown"`
}

func (opts changeFlags) changeID() core.RecordID {
	if opts.ID != "" {
		return core.RecordID(opts.ID)
	}
	return core.RecordID(uuid.NewString())
}

type setCommand struct {
	app *cliApp
	changeFlags
	Args struct {
		Path  pathArg `positional-arg-name:"PATH" required:"yes"`
		Key   keyArg  `positional-arg-name:"KEY" required:"yes"`
		Value string  `positional-arg-name:"VALUE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute sets a key of a node.
func (cmd *setCommand) Execute([]string) error {
	key := string(cmd.Args.Key)
	val := jsonValue(key, cmd.Args.Value)
	if !json.Valid(val) {
		err := tree.Validate(tree.Path(cmd.Args.Path), key, nil)
		if err != nil {
			return err
		}
		return resultErrorf(core.CodeSettingInvalid, "%s: %s: value %s is not JSON", cmd.Args.Path, key, cmd.Args.Value)
	}
	return cmd.app.changeSetting(cmd.changeFlags, tree.Path(cmd.Args.Path), key, val)
}

type unsetCommand struct {
	app *cliApp
	changeFlags
	Args struct {
		Path pathArg `positional-arg-name:"PATH" required:"yes"`
		Key  keyArg  `positional-arg-name:"KEY" required:"yes"`
	} `positional-args:"yes"`
}

// Execute removes a key of a node.
func (cmd *unsetCommand) Execute([]string) error {
	return cmd.app.changeSetting(cmd.changeFlags, tree.Path(cmd.Args.Path), string(cmd.Args.Key), nil)
}

// jsonValue returns text as JSON: values of string and duration keys may be given
// without quotes.
func jsonValue(key, text string) json.RawMessage {
	for _, schemaKey := range tree.Keys() {
		quoted := schemaKey.Type == tree.TypeString || schemaKey.Type == tree.TypeDuration
		if schemaKey.Name != key || !quoted || strings.HasPrefix(text, `"`) {
			continue
		}
		out, err := json.Marshal(text)
		if err != nil {
			panic(err)
		}
		return out
	}
	return json.RawMessage(text)
}

// changeSetting sets a key of a node, or removes it if val is nil, and prints the
// receipt.
func (app *cliApp) changeSetting(opts changeFlags, path tree.Path, key string, val json.RawMessage) error {
	base, err := app.baseVersion(opts, path)
	if err != nil {
		return err
	}
	change := oper.Change{ID: opts.changeID(), Path: path, Key: key, Value: val, Base: &base, Note: opts.Note}
	receipt, err := app.sendSetting(change)
	if err != nil {
		return err
	}
	return app.printResult(receipt, func(w io.Writer) { writeReceipt(w, receipt) })
}

func (app *cliApp) sendSetting(change oper.Change) (oper.Receipt, error) {
	method := fasthttp.MethodPut
	if change.Value == nil {
		method = fasthttp.MethodDelete
	}
	var receipt oper.Receipt
	err := app.client.sendChange(method, "/v1/settings", change.ID, change, &receipt)
	return receipt, err
}

func (app *cliApp) baseVersion(opts changeFlags, path tree.Path) (core.Offset, error) {
	if opts.Base != nil {
		return core.Offset(*opts.Base), nil
	}
	settings, err := app.settings(path, false)
	return settings.Version, err
}

type drainCommand struct {
	app   *cliApp
	on    bool
	Model string `long:"model" value-name:"NAME" description:"Model of the group, if several have one of this name"`
	Note  string `long:"note" value-name:"TEXT" description:"Reason, for the audit trail"`
	Args  struct {
		Kind kindArg `positional-arg-name:"vm|group|node" required:"yes"`
		Name string  `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute starts or ends a drain.
func (cmd *drainCommand) Execute([]string) error {
	drain := oper.Drain{
		ID:    core.RecordID(uuid.NewString()),
		Kind:  oper.DrainKind(cmd.Args.Kind),
		Name:  cmd.Args.Name,
		Model: core.ModelName(cmd.Model),
		On:    &cmd.on,
		Note:  cmd.Note,
	}
	var receipt oper.Receipt
	err := cmd.app.client.sendChange(fasthttp.MethodPost, "/v1/drain", drain.ID, drain, &receipt)
	if err != nil {
		return err
	}
	return cmd.app.printResult(receipt, func(w io.Writer) { writeReceipt(w, receipt) })
}
