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

func (flg changeFlags) id() core.RecordID {
	if flg.ID != "" {
		return core.RecordID(flg.ID)
	}
	return core.RecordID(uuid.NewString())
}

type setCommand struct {
	apl *app
	changeFlags
	Args struct {
		Path  pathArg `positional-arg-name:"PATH" required:"yes"`
		Key   keyArg  `positional-arg-name:"KEY" required:"yes"`
		Value string  `positional-arg-name:"VALUE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute sets a key.
func (cmd *setCommand) Execute([]string) error {
	key := string(cmd.Args.Key)
	val := jsonValue(key, cmd.Args.Value)
	if !json.Valid(val) {
		err := tree.Validate(tree.Path(cmd.Args.Path), key, nil)
		if err != nil {
			return err
		}
		return failf(core.CodeSettingInvalid, "%s: %s: value %s is not JSON", cmd.Args.Path, key, cmd.Args.Value)
	}
	return cmd.apl.change(cmd.changeFlags, tree.Path(cmd.Args.Path), key, val)
}

type unsetCommand struct {
	apl *app
	changeFlags
	Args struct {
		Path pathArg `positional-arg-name:"PATH" required:"yes"`
		Key  keyArg  `positional-arg-name:"KEY" required:"yes"`
	} `positional-args:"yes"`
}

// Execute removes a key.
func (cmd *unsetCommand) Execute([]string) error {
	return cmd.apl.change(cmd.changeFlags, tree.Path(cmd.Args.Path), string(cmd.Args.Key), nil)
}

// jsonValue puts quotes around a text or a duration that has none.
func jsonValue(key, txt string) json.RawMessage {
	for _, ent := range tree.Keys() {
		text := ent.Type == tree.TypeString || ent.Type == tree.TypeDuration
		if ent.Name != key || !text || strings.HasPrefix(txt, `"`) {
			continue
		}
		out, err := json.Marshal(txt)
		if err != nil {
			panic(err)
		}
		return out
	}
	return json.RawMessage(txt)
}

// change sets a key of a node, or removes it if val is nil, and shows the
// receipt.
func (apl *app) change(flg changeFlags, pth tree.Path, key string, val json.RawMessage) error {
	base, err := apl.base(flg, pth)
	if err != nil {
		return err
	}
	cha := oper.Change{ID: flg.id(), Path: pth, Key: key, Value: val, Base: &base, Note: flg.Note}
	rec, err := apl.send(cha)
	if err != nil {
		return err
	}
	return apl.show(rec, func(wri io.Writer) { receiptLine(wri, rec) })
}

func (apl *app) send(cha oper.Change) (oper.Receipt, error) {
	method := fasthttp.MethodPut
	if cha.Value == nil {
		method = fasthttp.MethodDelete
	}
	var rec oper.Receipt
	err := apl.cln.change(method, "/v1/settings", cha.ID, cha, &rec)
	return rec, err
}

func (apl *app) base(flg changeFlags, pth tree.Path) (core.Offset, error) {
	if flg.Base != nil {
		return core.Offset(*flg.Base), nil
	}
	set, err := apl.settings(pth, false)
	return set.Version, err
}

type drainCommand struct {
	apl   *app
	on    bool
	Model string `long:"model" value-name:"NAME" description:"Model of the group, if several have one of this name"`
	Note  string `long:"note" value-name:"TEXT" description:"Reason, for the audit trail"`
	Args  struct {
		Kind kindArg `positional-arg-name:"vm|group|node" required:"yes"`
		Name string  `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute drains or ends a drain.
func (cmd *drainCommand) Execute([]string) error {
	dra := oper.Drain{
		ID:    core.RecordID(uuid.NewString()),
		Kind:  oper.DrainKind(cmd.Args.Kind),
		Name:  cmd.Args.Name,
		Model: core.ModelName(cmd.Model),
		On:    &cmd.on,
		Note:  cmd.Note,
	}
	var rec oper.Receipt
	err := cmd.apl.cln.change(fasthttp.MethodPost, "/v1/drain", dra.ID, dra, &rec)
	if err != nil {
		return err
	}
	return cmd.apl.show(rec, func(wri io.Writer) { receiptLine(wri, rec) })
}
