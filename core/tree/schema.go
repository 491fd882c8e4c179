package tree

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"kumquathinge/core"
)

const (
	maxValueBytes = 16 << 10
	maxListItems  = 256
)

var numberRegexp = regexp.MustCompile(`^-?[0-9]{1,18}(\.[0-9]{1,18})?([eE][+-]?[0-9]{1,2})?$`)

var schemas = compileSchemas()

func compileSchemas() map[string]*jsonschema.Schema {
	out := make(map[string]*jsonschema.Schema, len(keys))
	for _, key := range keys {
		out[key.Name] = compileSchema(key)
	}
	return out
}

func compileSchema(key Key) *jsonschema.Schema {
	url := key.Name + ".json"
	compiler := jsonschema.NewCompiler()
	compiler.AssertFormat()
	compiler.RegisterFormat(&jsonschema.Format{Name: "span", Validate: durationCheck(key)})
	err := compiler.AddResource(url, schemaOf(key))
	if err != nil {
		panic(err)
	}
	return compiler.MustCompile(url)
}

// schemaOf returns the JSON schema of the key's values.
func schemaOf(key Key) map[string]any {
	switch key.Type {
	case TypeBool:
		return map[string]any{"type": "boolean"}
	case TypeInt:
		return map[string]any{"type": "integer", "minimum": key.Min, "maximum": key.Max}
	case TypeFloat:
		return map[string]any{"type": "number", "minimum": key.Min, "maximum": key.Max}
	case TypeDuration:
		return map[string]any{"type": "string", "format": "span"}
	case TypeString:
		return map[string]any{"type": "string", "pattern": key.Pattern}
	case TypeStrings:
		return map[string]any{
			"type": "array", "maxItems": float64(maxListItems), "uniqueItems": true,
			"items": map[string]any{"type": "string", "pattern": key.Pattern, "minLength": 1.0},
		}
	}
	panic("tree: unknown type " + string(key.Type))
}

// durationCheck returns a function that validates a duration against the limits
// of the key.
func durationCheck(key Key) func(any) error {
	return func(val any) error {
		text, ok := val.(string)
		if !ok {
			return nil
		}
		dur, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 500ms", text)
		}
		if sec := dur.Seconds(); sec < key.Min || sec > key.Max {
			return fmt.Errorf("%s is not between %v s and %v s", text, key.Min, key.Max)
		}
		return nil
	}
}

// Validate checks whether key may be set to raw at path. A nil raw, which
// removes the key, is valid. The error carries core.CodeNoSuchNode for an
// invalid path, core.CodeSettingUnknown for a key that is not in the schema,
// and core.CodeSettingInvalid for a value of the wrong type, unit or range or a
// key that may not be set at this kind of node. The text of the error contains
// the path, and the key if the path is valid.
func Validate(path Path, key string, raw []byte) error {
	kind, err := path.Kind()
	if err != nil {
		return err
	}
	desc, ok := keyByName[key]
	if !ok {
		return core.Errorf(core.CodeSettingUnknown, "%s: no setting is called %q", path, key)
	}
	if !slices.Contains(desc.AllowedAt, kind) {
		return core.Errorf(core.CodeSettingInvalid, "%s: %s can't be set at a node of kind %s", path, key, kind)
	}
	if raw == nil {
		return nil
	}
	_, err = parse(desc, raw)
	if err != nil {
		return core.Errorf(core.CodeSettingInvalid, "%s: %s: %v", path, key, err)
	}
	return nil
}

// parse validates raw against the schema of the key and returns its Go value, a
// bool, int, float64, time.Duration, string or []string.
func parse(key *Key, raw []byte) (any, error) {
	if len(raw) > maxValueBytes {
		return nil, fmt.Errorf("value has %d bytes, more than %d", len(raw), maxValueBytes)
	}
	val, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, fmt.Errorf("value is not JSON: %w", err)
	}
	if !shortNumbers(val) {
		return nil, fmt.Errorf("value %s has a number with too many digits", raw)
	}
	err = schemas[key.Name].Validate(val)
	if err != nil {
		return nil, fmt.Errorf("value %s is not a valid %s: %s", raw, key.Type, rootCause(err))
	}
	return convert(key.Type, raw)
}

// shortNumbers reports whether all numbers in val are short enough for an exact
// comparison, which needs much memory for large exponents.
func shortNumbers(val any) bool {
	switch typ := val.(type) {
	case json.Number:
		return numberRegexp.MatchString(typ.String())
	case []any:
		return !slices.ContainsFunc(typ, func(elem any) bool { return !shortNumbers(elem) })
	case map[string]any:
		for _, elem := range typ {
			if !shortNumbers(elem) {
				return false
			}
		}
	}
	return true
}

func convert(typ Type, raw []byte) (any, error) {
	switch typ {
	case TypeBool:
		return decode[bool](raw)
	case TypeInt:
		num, err := decode[float64](raw)
		return int(num), err
	case TypeFloat:
		return decode[float64](raw)
	case TypeDuration:
		text, err := decode[string](raw)
		if err != nil {
			return nil, err
		}
		return time.ParseDuration(text)
	case TypeString:
		return decode[string](raw)
	case TypeStrings:
		return decode[[]string](raw)
	}
	panic("tree: unknown type " + string(typ))
}

func decode[T any](raw []byte) (T, error) {
	var out T
	err := json.Unmarshal(raw, &out)
	return out, err
}

// rootCause returns the text of the innermost cause of a schema error.
func rootCause(err error) string {
	verr, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return err.Error()
	}
	for len(verr.Causes) > 0 {
		verr = verr.Causes[0]
	}
	return verr.ErrorKind.LocalizedString(printer)
}
