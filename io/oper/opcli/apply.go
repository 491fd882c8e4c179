package opcli

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/google/uuid"

	"kumquathinge/core"
	"kumquathinge/core/tree"
	"kumquathinge/io/oper"
)

const (
	jsonNull     = "null"
	maxFileBytes = 16 << 20
	stdinName    = "-"
)

// Difference is a key whose value in a file differs from the one that the node
// itself sets. Have is the value in force and Origin the node that sets it; a nil
// Want means that the value is to be inherited. Base is the version of the node.
type Difference struct {
	Path   tree.Path       `json:"path"`
	Key    string          `json:"key"`
	Have   json.RawMessage `json:"have"`
	Origin tree.Path       `json:"from"`
	Want   json.RawMessage `json:"want,omitempty"`
	Base   core.Offset     `json:"base"`
}

// File is the content of a settings file: values by node and key. A nil value
// is to be inherited.
type File map[tree.Path]map[string]json.RawMessage

// DecodeFile decodes a settings file and validates it against the schema. The
// error for an invalid setting names the node and the key.
func DecodeFile(raw []byte) (File, error) {
	var file File
	dec := json.NewDecoder(bytes.NewReader(raw))
	err := dec.Decode(&file)
	if err != nil {
		return nil, core.Errorf(core.CodeBadRequest, "the file is not a JSON object of nodes: %v", err)
	}
	_, err = dec.Token()
	if err != io.EOF {
		return nil, core.Errorf(core.CodeBadRequest, "the file has data after its JSON object")
	}
	for _, path := range slices.Sorted(maps.Keys(file)) {
		for _, key := range slices.Sorted(maps.Keys(file[path])) {
			if string(file[path][key]) == jsonNull {
				file[path][key] = nil
			}
			err = tree.Validate(path, key, file[path][key])
			if err != nil {
				return nil, err
			}
		}
	}
	return file, nil
}

type fileArgs struct {
	File string `positional-arg-name:"FILE" required:"yes" description:"JSON file, - for standard input"`
}

type diffCommand struct {
	app  *cliApp
	Args fileArgs `positional-args:"yes"`
}

// Execute prints the changes that apply would make. It returns errDifferent if
// there are any.
func (cmd *diffCommand) Execute([]string) error {
	diffs, err := cmd.app.differences(cmd.Args.File)
	if err != nil {
		return err
	}
	err = cmd.app.printResult(diffs, func(w io.Writer) { writeDifferences(w, diffs) })
	if err == nil && len(diffs) > 0 {
		return errDifferent
	}
	return err
}

func writeDifferences(w io.Writer, diffs []Difference) {
	if len(diffs) == 0 {
		printf(w, "no differences\n")
		return
	}
	var rows [][]string
	for _, diff := range diffs {
		want := string(diff.Want)
		if diff.Want == nil {
			want = "(inherit)"
		}
		rows = append(rows, []string{string(diff.Path), diff.Key, string(diff.Have), string(diff.Origin), want, offsetText(diff.Base)})
	}
	writeTable(w, []string{"PATH", "KEY", "IN FORCE", "FROM", "FILE", "BASE"}, rows)
}

type applyCommand struct {
	app  *cliApp
	Note string   `long:"note" value-name:"TEXT" description:"Reason, for the audit trail"`
	Args fileArgs `positional-args:"yes"`
}

// applyResult is the outcome of apply: the accepted changes and those not yet
// accepted.
type applyResult struct {
	Accepted  []oper.Receipt `json:"accepted"`
	Remaining []Difference   `json:"left,omitempty"`
}

// Execute sends the changes one by one and stops at the first that fails. Each
// change of a node is based on the version that the preceding one created.
func (cmd *applyCommand) Execute([]string) error {
	diffs, err := cmd.app.differences(cmd.Args.File)
	if err != nil {
		return err
	}
	res := applyResult{Accepted: []oper.Receipt{}}
	bases := make(map[tree.Path]core.Offset)
	for idx, diff := range diffs {
		base, ok := bases[diff.Path]
		if !ok {
			base = diff.Base
		}
		var receipt oper.Receipt
		id := core.RecordID(uuid.NewString())
		receipt, err = cmd.app.sendSetting(oper.Change{ID: id, Path: diff.Path, Key: diff.Key, Value: diff.Want, Base: &base, Note: cmd.Note})
		if err != nil {
			res.Remaining = diffs[idx:]
			break
		}
		bases[diff.Path] = receipt.Offset
		res.Accepted = append(res.Accepted, receipt)
	}
	showErr := cmd.app.printResult(res, func(w io.Writer) { writeApplyResult(w, res) })
	if err != nil {
		return err
	}
	return showErr
}

func writeApplyResult(w io.Writer, res applyResult) {
	for _, receipt := range res.Accepted {
		writeReceipt(w, receipt)
	}
	printf(w, "%d accepted, %d left\n", len(res.Accepted), len(res.Remaining))
}

// differences compares the file with the values in force.
func (app *cliApp) differences(name string) ([]Difference, error) {
	raw, err := app.readFile(name)
	if err != nil {
		return nil, err
	}
	file, err := DecodeFile(raw)
	if err != nil {
		return nil, err
	}
	out := []Difference{}
	for _, path := range slices.Sorted(maps.Keys(file)) {
		settings, setErr := app.settings(path, false)
		if setErr != nil {
			return nil, setErr
		}
		for _, val := range settings.Values {
			want, ok := file[path][val.Key]
			if !ok || alreadySet(val, path, want) {
				continue
			}
			out = append(out, Difference{
				Path: path, Key: val.Key, Have: val.Value, Origin: val.Origin, Want: want, Base: settings.Version,
			})
		}
	}
	return out, nil
}

// alreadySet reports whether the node itself sets want, or inherits the value if
// want is nil.
func alreadySet(val oper.Setting, path tree.Path, want json.RawMessage) bool {
	if want == nil {
		return val.Origin != path
	}
	var buf bytes.Buffer
	err := json.Compact(&buf, want)
	if err != nil {
		panic(err)
	}
	return val.Origin == path && bytes.Equal(buf.Bytes(), val.Value)
}

func (app *cliApp) readFile(name string) ([]byte, error) {
	src := app.stdin
	if name != stdinName {
		file, err := os.Open(name)
		if err != nil {
			return nil, core.Errorf(core.CodeBadRequest, "%v", err)
		}
		defer func() { _ = file.Close() }()
		src = file
	}
	raw, err := io.ReadAll(io.LimitReader(src, maxFileBytes))
	if err != nil {
		return nil, core.Errorf(core.CodeBadRequest, "%s: %v", name, err)
	}
	return raw, nil
}
