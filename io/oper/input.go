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

// DecodeChange reads a change and validates it against the schema of the
// settings; unset tells that the key is to be removed. Its error carries
// core.CodeBadRequest, core.CodeNoSuchNode, core.CodeSettingUnknown or
// core.CodeSettingInvalid, and the change has the path if one was read.
func DecodeChange(raw []byte, unset bool) (Change, error) {
	var cha Change
	err := decodeStrict(raw, &cha)
	if err != nil {
		return cha, err
	}
	if cha.Base == nil {
		return cha, core.Errorf(core.CodeBadRequest, "%s: base is missing: the version that the change was made from", cha.Path)
	}
	err = checkID(cha.ID, cha.Note)
	if err != nil {
		return cha, err
	}
	if unset {
		if cha.Value != nil {
			return cha, core.Errorf(core.CodeBadRequest, "%s: %s: a removed key takes no value", cha.Path, cha.Key)
		}
		return cha, tree.Validate(cha.Path, cha.Key, nil)
	}
	if cha.Value == nil {
		return cha, core.Errorf(core.CodeBadRequest, "%s: %s: value is missing", cha.Path, cha.Key)
	}
	return cha, tree.Validate(cha.Path, cha.Key, cha.Value)
}

// DecodeDrain reads a drain. Its error carries core.CodeBadRequest.
func DecodeDrain(raw []byte) (Drain, error) {
	var dra Drain
	err := decodeStrict(raw, &dra)
	if err != nil {
		return dra, err
	}
	if dra.On == nil {
		return dra, core.Errorf(core.CodeBadRequest, "%s %s: on is missing", dra.Kind, dra.Name)
	}
	if dra.Name == "" {
		return dra, core.Errorf(core.CodeBadRequest, "name is missing")
	}
	if dra.Kind != KindVM && dra.Kind != KindGroup && dra.Kind != KindNode {
		return dra, core.Errorf(core.CodeBadRequest, "kind %q is none of vm, group and node", dra.Kind)
	}
	if dra.Model != "" && dra.Kind != KindGroup {
		return dra, core.Errorf(core.CodeBadRequest, "model is for groups only")
	}
	return dra, checkID(dra.ID, dra.Note)
}

// decodeStrict reads one JSON value without unknown fields.
func decodeStrict(raw []byte, val any) error {
	if len(raw) > MaxBodyBytes {
		return core.Errorf(core.CodeTooLarge, "the body is larger than %d bytes", MaxBodyBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	err := dec.Decode(val)
	if err != nil {
		return core.Errorf(core.CodeBadRequest, "the body is not as expected: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	_, err = dec.Token()
	if err != io.EOF {
		return core.Errorf(core.CodeBadRequest, "the body goes on behind its JSON value")
	}
	return nil
}

func checkID(id core.RecordID, note string) error {
	if len(note) > maxNoteBytes {
		return core.Errorf(core.CodeBadRequest, "note has %d bytes, more than %d", len(note), maxNoteBytes)
	}
	if id == "" {
		return nil
	}
	uid, err := uuid.Parse(string(id))
	if err != nil || uid.String() != string(id) {
		return core.Errorf(core.CodeBadRequest, "id %q is not a UUID in its usual lower-case form", id)
	}
	return nil
}

// body returns the body of a request that must be JSON.
func body(ctx *fasthttp.RequestCtx) ([]byte, error) {
	typ, _, _ := strings.Cut(string(ctx.Request.Header.ContentType()), ";")
	if strings.TrimSpace(typ) != jsonType {
		return nil, core.Errorf(core.CodeBadRequest, "Content-Type is %q, not %s", typ, jsonType)
	}
	return ctx.PostBody(), nil
}

// queryPath returns the path that a request names.
func queryPath(ctx *fasthttp.RequestCtx) (tree.Path, error) {
	pth := tree.Path(ctx.QueryArgs().Peek("path"))
	if pth == "" {
		return "", core.Errorf(core.CodeBadRequest, "path is missing")
	}
	_, err := pth.Kind()
	return pth, err
}

func queryUint(ctx *fasthttp.RequestCtx, name string, def uint64) (uint64, error) {
	txt := string(ctx.QueryArgs().Peek(name))
	if txt == "" {
		return def, nil
	}
	num, err := strconv.ParseUint(txt, 10, 63)
	if err != nil {
		return 0, core.Errorf(core.CodeBadRequest, "%s=%s is not a number from 0 on", name, txt)
	}
	return num, nil
}

func queryBool(ctx *fasthttp.RequestCtx, name string) (bool, error) {
	txt := string(ctx.QueryArgs().Peek(name))
	if txt == "" {
		return false, nil
	}
	val, err := strconv.ParseBool(txt)
	if err != nil {
		return false, core.Errorf(core.CodeBadRequest, "%s=%s is not a truth value", name, txt)
	}
	return val, nil
}
