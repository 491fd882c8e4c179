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
	nullText      = "null"
	maxFileBytes  = 16 << 20
	standardInput = "-"
)

// Difference is a key of a file whose value is not the node's own.
type Difference struct {
	Path tree.Path       `json:"path"`
	Key  string          `json:"key"`
	Have json.RawMessage `json:"have"`
	From tree.Path       `json:"from"`
	Want json.RawMessage `json:"want,omitempty"`
	Base core.Offset     `json:"base"`
}

// File is a part of the settings tree as a file holds it: by node and key. A
// nil value is to be inherited.
type File map[tree.Path]map[string]json.RawMessage

// DecodeFile reads a file and validates it against the schema of the
// settings. Its error names the node and the key.
func DecodeFile(raw []byte) (File, error) {
	var fil File
	dec := json.NewDecoder(bytes.NewReader(raw))
	err := dec.Decode(&fil)
	if err != nil {
		return nil, core.Errorf(core.CodeBadRequest, "the file is not a JSON object of nodes: %v", err)
	}
	_, err = dec.Token()
	if err != io.EOF {
		return nil, core.Errorf(core.CodeBadRequest, "the file goes on behind its JSON object")
	}
	for _, pth := range slices.Sorted(maps.Keys(fil)) {
		for _, key := range slices.Sorted(maps.Keys(fil[pth])) {
			if string(fil[pth][key]) == nullText {
				fil[pth][key] = nil
			}
			err = tree.Validate(pth, key, fil[pth][key])
			if err != nil {
				return nil, err
			}
		}
	}
	return fil, nil
}

type fileArgs struct {
	File string `positional-arg-name:"FILE" required:"yes" description:"JSON file, - for standard input"`
}

type diffCommand struct {
	apl  *app
	Args fileArgs `positional-args:"yes"`
}

// Execute shows what apply would change.
func (cmd *diffCommand) Execute([]string) error {
	difs, err := cmd.apl.differences(cmd.Args.File)
	if err != nil {
		return err
	}
	err = cmd.apl.show(difs, func(wri io.Writer) { differenceTable(wri, difs) })
	if err == nil && len(difs) > 0 {
		return errDifferent
	}
	return err
}

func differenceTable(wri io.Writer, difs []Difference) {
	if len(difs) == 0 {
		printf(wri, "no differences\n")
		return
	}
	var rows [][]string
	for _, dif := range difs {
		want := string(dif.Want)
		if dif.Want == nil {
			want = "(inherit)"
		}
		rows = append(rows, []string{string(dif.Path), dif.Key, string(dif.Have), string(dif.From), want, offsetText(dif.Base)})
	}
	table(wri, []string{"PATH", "KEY", "IN FORCE", "FROM", "FILE", "BASE"}, rows)
}

type applyCommand struct {
	apl  *app
	Note string   `long:"note" value-name:"TEXT" description:"Reason, for the audit trail"`
	Args fileArgs `positional-args:"yes"`
}

// applied is what apply did.
type applied struct {
	Accepted []oper.Receipt `json:"accepted"`
	Left     []Difference   `json:"left,omitempty"`
}

// Execute makes the changes, each from the version that the one before it
// made.
func (cmd *applyCommand) Execute([]string) error {
	difs, err := cmd.apl.differences(cmd.Args.File)
	if err != nil {
		return err
	}
	res := applied{Accepted: []oper.Receipt{}}
	bases := make(map[tree.Path]core.Offset)
	for idx, dif := range difs {
		base, ok := bases[dif.Path]
		if !ok {
			base = dif.Base
		}
		var rec oper.Receipt
		id := core.RecordID(uuid.NewString())
		rec, err = cmd.apl.send(oper.Change{ID: id, Path: dif.Path, Key: dif.Key, Value: dif.Want, Base: &base, Note: cmd.Note})
		if err != nil {
			res.Left = difs[idx:]
			break
		}
		bases[dif.Path] = rec.Offset
		res.Accepted = append(res.Accepted, rec)
	}
	showErr := cmd.apl.show(res, func(wri io.Writer) { appliedLines(wri, res) })
	if err != nil {
		return err
	}
	return showErr
}

func appliedLines(wri io.Writer, res applied) {
	for _, rec := range res.Accepted {
		receiptLine(wri, rec)
	}
	printf(wri, "%d accepted, %d left\n", len(res.Accepted), len(res.Left))
}

// differences compares the file with what is in force.
func (apl *app) differences(name string) ([]Difference, error) {
	raw, err := apl.readFile(name)
	if err != nil {
		return nil, err
	}
	fil, err := DecodeFile(raw)
	if err != nil {
		return nil, err
	}
	out := []Difference{}
	for _, pth := range slices.Sorted(maps.Keys(fil)) {
		set, setErr := apl.settings(pth, false)
		if setErr != nil {
			return nil, setErr
		}
		for _, val := range set.Values {
			want, ok := fil[pth][val.Key]
			if !ok || same(val, pth, want) {
				continue
			}
			out = append(out, Difference{
				Path: pth, Key: val.Key, Have: val.Value, From: val.Origin, Want: want, Base: set.Version,
			})
		}
	}
	return out, nil
}

// same reports whether the node itself sets want, or inherits if want is nil.
func same(val oper.Setting, pth tree.Path, want json.RawMessage) bool {
	if want == nil {
		return val.Origin != pth
	}
	var buf bytes.Buffer
	err := json.Compact(&buf, want)
	if err != nil {
		panic(err)
	}
	return val.Origin == pth && bytes.Equal(buf.Bytes(), val.Value)
}

func (apl *app) readFile(name string) ([]byte, error) {
	src := apl.in
	if name != standardInput {
		fil, err := os.Open(name)
		if err != nil {
			return nil, core.Errorf(core.CodeBadRequest, "%v", err)
		}
		defer func() { _ = fil.Close() }()
		src = fil
	}
	raw, err := io.ReadAll(io.LimitReader(src, maxFileBytes))
	if err != nil {
		return nil, core.Errorf(core.CodeBadRequest, "%s: %v", name, err)
	}
	return raw, nil
}
