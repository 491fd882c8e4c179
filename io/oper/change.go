package oper

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
)

func (api *API) putSetting(ctx *fasthttp.RequestCtx) { api.changeSetting(ctx, false) }

func (api *API) deleteSetting(ctx *fasthttp.RequestCtx) { api.changeSetting(ctx, true) }

func (api *API) changeSetting(ctx *fasthttp.RequestCtx, unset bool) {
	raw, err := body(ctx)
	if err != nil {
		fail(ctx, "", err)
		return
	}
	cha, err := DecodeChange(raw, unset)
	if err != nil {
		fail(ctx, cha.Path, err)
		return
	}
	api.propose(ctx, cha)
}

// propose proposes a valid change and answers what became of it.
func (api *API) propose(ctx *fasthttp.RequestCtx, cha Change) {
	if api.bck.View() == nil {
		fail(ctx, cha.Path, errNoState())
		return
	}
	if cha.ID == "" {
		cha.ID = core.RecordID(uuid.NewString())
	}
	bound, cancel := context.WithTimeout(context.Background(), api.timeout)
	defer cancel()
	ver, err := api.bck.Propose(bound, recordOf(cha, operatorOf(ctx)))
	if err != nil {
		failProposal(ctx, cha, err)
		return
	}
	if ver.Code == core.CodeDuplicateRecord {
		ver = api.first(cha.ID, ver)
	}
	if !ver.Accepted() {
		failStatus(ctx, httpStatus(ver.Code), Failure{
			Code:   ver.Code,
			Error:  ver.Detail,
			Path:   cha.Path,
			ID:     cha.ID,
			State:  StateRejected,
			Offset: ver.Offset,
		})
		return
	}
	rec := receiptOf(cha.ID, ver)
	rec.Path = cha.Path
	rec.Key = cha.Key
	answer(ctx, rec)
}

// first returns the verdict on the record's first appearance.
func (api *API) first(id core.RecordID, ver fold.Verdict) fold.Verdict {
	fst, ok := api.bck.Outcome(id)
	if ok {
		return fst
	}
	return ver
}

func recordOf(cha Change, by string) recd.Record {
	set := &recd.Setting{Path: string(cha.Path), Key: cha.Key, Base: *cha.Base, Note: cha.Note}
	if cha.Value != nil {
		var buf bytes.Buffer
		err := json.Compact(&buf, cha.Value)
		if err != nil {
			panic(err)
		}
		set.Value = buf.Bytes()
	}
	return recd.Record{ID: cha.ID, By: by, Setting: set}
}

// failProposal answers a proposal without verdict. Only the codes that state
// so mean that nothing was appended.
func failProposal(ctx *fasthttp.RequestCtx, cha Change, err error) {
	flr := Failure{Code: core.CodeOf(err), Path: cha.Path, ID: cha.ID}
	switch flr.Code {
	case core.CodeLogRefused, core.CodeLogDown, core.CodeNotReady:
		flr.State = StateNotAccepted
		flr.Error = string(cha.Path) + ": not accepted: " + detail(err)
	default:
		flr.Code = core.CodeSettingUncertain
		flr.State = StateUnknown
		flr.Error = string(cha.Path) + ": not known whether accepted, ask by this ID: " + detail(err)
	}
	failStatus(ctx, httpStatus(flr.Code), flr)
}

func receiptOf(id core.RecordID, ver fold.Verdict) Receipt {
	rec := Receipt{ID: id, State: StateAccepted, Offset: ver.Offset, Code: ver.Code, Detail: ver.Detail}
	if !ver.Accepted() {
		rec.State = StateRejected
	}
	return rec
}
