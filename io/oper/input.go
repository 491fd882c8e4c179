package oper

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/core/tree"
)

const maxNoteBytes = 1024

// DecodeChange decodes a change and validates it against the schema of the
// settings; with unset, the key is to be removed and must have no value. Its
// error carries core.CodeBadRequest, core.CodeTooLarge, core.CodeNoSuchNode,
// core.CodeSettingUnknown or core.CodeSettingInvalid; the returned change then
// has the path if one was decoded.
func DecodeChange(raw []byte, unset bool) (Change, error) {
	var change Change
	err := decodeStrict(raw, &change)
	if err != nil {
		return change, err
	}
	if change.Base == nil {
		return change, core.Errorf(core.CodeBadRequest, "%s: base is missing: the version that the change was made from", change.Path)
	}
	err = checkIDAndNote(change.ID, change.Note)
	if err != nil {
		return change, err
	}
	if unset {
		if change.Value != nil {
			return change, core.Errorf(core.CodeBadRequest, "%s: %s: a removed key takes no value", change.Path, change.Key)
		}
		return change, tree.Validate(change.Path, change.Key, nil)
	}
	if change.Value == nil {
		return change, core.Errorf(core.CodeBadRequest, "%s: %s: value is missing", change.Path, change.Key)
	}
	return change, tree.Validate(change.Path, change.Key, change.Value)
}

// DecodeDrain decodes and validates a drain. Its error carries
// core.CodeBadRequest or core.CodeTooLarge.
func DecodeDrain(raw []byte) (Drain, error) {
	var drain Drain
	err := decodeStrict(raw, &drain)
	if err != nil {
		return drain, err
	}
	if drain.On == nil {
		return drain, core.Errorf(core.CodeBadRequest, "%s %s: on is missing", drain.Kind, drain.Name)
	}
	if drain.Name == "" {
		return drain, core.Errorf(core.CodeBadRequest, "name is missing")
	}
	if drain.Kind != KindVM && drain.Kind != KindGroup && drain.Kind != KindNode {
		return drain, core.Errorf(core.CodeBadRequest, "kind %q is none of vm, group and node", drain.Kind)
	}
	if drain.Model != "" && drain.Kind != KindGroup {
		return drain, core.Errorf(core.CodeBadRequest, "model is for groups only")
	}
	return drain, checkIDAndNote(drain.ID, drain.Note)
}

// decodeStrict decodes a single JSON value; unknown fields and trailing data are
// errors.
func decodeStrict(raw []byte, val any) error {
	if len(raw) > MaxBodyBytes {
		return core.Errorf(core.CodeTooLarge, "the body is larger than %d bytes", MaxBodyBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	err := dec.Decode(val)
	if err != nil {
		return core.Errorf(core.CodeBadRequest, "the body can't be decoded: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	_, err = dec.Token()
	if err != io.EOF {
		return core.Errorf(core.CodeBadRequest, "the body has data after its JSON value")
	}
	return nil
}

func checkIDAndNote(id core.RecordID, note string) error {
	if len(note) > maxNoteBytes {
		return core.Errorf(core.CodeBadRequest, "note has %d bytes, more than %d", len(note), maxNoteBytes)
	}
	if id == "" {
		return nil
	}
	parsed, err := uuid.Parse(string(id))
	if err != nil || parsed.String() != string(id) {
		return core.Errorf(core.CodeBadRequest, "id %q is not a UUID in canonical lower-case form", id)
	}
	return nil
}

// jsonBody returns the body of a request, or an error if its Content-Type is not
// JSON.
func jsonBody(ctx *fasthttp.RequestCtx) ([]byte, error) {
	contentType, _, _ := strings.Cut(string(ctx.Request.Header.ContentType()), ";")
	if strings.TrimSpace(contentType) != jsonContentType {
		return nil, core.Errorf(core.CodeBadRequest, "Content-Type is %q, not %s", contentType, jsonContentType)
	}
	return ctx.PostBody(), nil
}

// queryPath returns the query parameter path, or an error if it is missing or
// not the path of a settings node.
func queryPath(ctx *fasthttp.RequestCtx) (tree.Path, error) {
	path := tree.Path(ctx.QueryArgs().Peek("path"))
	if path == "" {
		return "", core.Errorf(core.CodeBadRequest, "path is missing")
	}
	_, err := path.Kind()
	return path, err
}

func queryUint(ctx *fasthttp.RequestCtx, name string, fallback uint64) (uint64, error) {
	text := string(ctx.QueryArgs().Peek(name))
	if text == "" {
		return fallback, nil
	}
	val, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, core.Errorf(core.CodeBadRequest, "%s=%s is not a non-negative integer", name, text)
	}
	return val, nil
}

func queryBool(ctx *fasthttp.RequestCtx, name string) (bool, error) {
	text := string(ctx.QueryArgs().Peek(name))
	if text == "" {
		return false, nil
	}
	val, err := strconv.ParseBool(text)
	if err != nil {
		return false, core.Errorf(core.CodeBadRequest, "%s=%s is not a boolean", name, text)
	}
	return val, nil
}
