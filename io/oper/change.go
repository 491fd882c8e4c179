package oper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
)

// shortenedEnd ends a shortened value of an audit line.
const shortenedEnd = "..."

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
	if err == nil {
		ver, err = api.first(cha, ver)
	}
	if err != nil {
		failProposal(ctx, cha, err)
		return
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

// first returns the verdict on the first appearance of the change, or a
// verdict with core.CodeDuplicateRecord if another change has its ID. Its
// error states that the first appearance is no longer remembered.
func (api *API) first(cha Change, ver fold.Verdict) (fold.Verdict, error) {
	if ver.Code == core.CodeDuplicateRecord {
		fst, ok := api.bck.Outcome(cha.ID)
		if !ok {
			return ver, core.Errorf(core.CodeSettingUncertain, "the change was made before, its outcome is no longer remembered")
		}
		ver = fst
	}
	lin, ok := lineOf(api.bck.View(), cha.ID, ver.Offset)
	if ok && !isOf(lin, cha) {
		ver.Code = core.CodeDuplicateRecord
		ver.Detail = fmt.Sprintf("%s: the ID is that of another change, of %s: %s", cha.Path, lin.Subject, lin.Key)
	}
	return ver, nil
}

// lineOf returns the audit line of the record in the entry at the offset.
func lineOf(vie *fold.View, id core.RecordID, at core.Offset) (fold.AuditLine, bool) {
	if vie == nil || at == 0 {
		return fold.AuditLine{}, false
	}
	for _, lin := range vie.Audit(at-1, maxAuditLines) {
		if lin.Offset != at {
			break
		}
		if lin.Record == id {
			return lin, true
		}
	}
	return fold.AuditLine{}, false
}

// isOf reports whether the line tells of cha. A long value stands shortened
// in the line.
func isOf(lin fold.AuditLine, cha Change) bool {
	val := string(compact(cha.Value))
	sameValue := lin.New == val
	if sta, cut := strings.CutSuffix(lin.New, shortenedEnd); cut {
		sameValue = sameValue || strings.HasPrefix(val, sta)
	}
	return lin.Kind == fold.KindSetting && lin.Subject == string(cha.Path) && lin.Key == cha.Key && sameValue
}

func recordOf(cha Change, by string) recd.Record {
	set := &recd.Setting{
		Path:  string(cha.Path),
		Key:   cha.Key,
		Value: compact(cha.Value),
		Base:  *cha.Base,
		Note:  cha.Note,
	}
	return recd.Record{ID: cha.ID, By: by, Setting: set}
}

// compact returns a valid JSON value without spaces, nil for nil.
func compact(val json.RawMessage) []byte {
	if val == nil {
		return nil
	}
	var buf bytes.Buffer
	err := json.Compact(&buf, val)
	if err != nil {
		panic(err)
	}
	return buf.Bytes()
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
