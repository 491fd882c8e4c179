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

// truncationSuffix ends a value that is truncated in an audit line.
const truncationSuffix = "..."

func (api *API) putSetting(ctx *fasthttp.RequestCtx) { api.changeSetting(ctx, false) }

func (api *API) deleteSetting(ctx *fasthttp.RequestCtx) { api.changeSetting(ctx, true) }

func (api *API) changeSetting(ctx *fasthttp.RequestCtx, unset bool) {
	raw, err := jsonBody(ctx)
	if err != nil {
		writeError(ctx, "", err)
		return
	}
	change, err := DecodeChange(raw, unset)
	if err != nil {
		writeError(ctx, change.Path, err)
		return
	}
	api.propose(ctx, change)
}

// propose proposes a validated change and writes its outcome as the response.
func (api *API) propose(ctx *fasthttp.RequestCtx, change Change) {
	if api.backend.View() == nil {
		writeError(ctx, change.Path, errNoState())
		return
	}
	if change.ID == "" {
		change.ID = core.RecordID(uuid.NewString())
	}
	proposeCtx, cancel := context.WithTimeout(context.Background(), api.proposeTimeout)
	defer cancel()
	decision, err := api.backend.Propose(proposeCtx, newRecord(change, operatorName(ctx)))
	if err == nil {
		decision, err = api.originalDecision(change, decision)
	}
	if err != nil {
		writeProposalError(ctx, change, err)
		return
	}
	if !decision.Accepted() {
		writeFailure(ctx, httpStatus(decision.Code), Failure{
			Code:   decision.Code,
			Error:  decision.Detail,
			Path:   change.Path,
			ID:     change.ID,
			State:  StateRejected,
			Offset: decision.Offset,
		})
		return
	}
	receipt := newReceipt(change.ID, decision)
	receipt.Path = change.Path
	receipt.Key = change.Key
	writeJSON(ctx, receipt)
}

// originalDecision returns the decision on the first record with the ID of the
// change, or a decision with core.CodeDuplicateRecord if that record holds
// another change. It returns an error if the first decision is no longer
// stored.
func (api *API) originalDecision(change Change, decision fold.Decision) (fold.Decision, error) {
	if decision.Code == core.CodeDuplicateRecord {
		original, ok := api.backend.Outcome(change.ID)
		if !ok {
			return decision, core.Errorf(core.CodeSettingUncertain, "the change was made before; its outcome is no longer stored")
		}
		decision = original
	}
	line, ok := findAuditLine(api.backend.View(), change.ID, decision.Offset)
	if ok && !describesChange(line, change) {
		decision.Code = core.CodeDuplicateRecord
		decision.Detail = fmt.Sprintf("%s: the ID is that of another change, of %s: %s", change.Path, line.Subject, line.Key)
	}
	return decision, nil
}

// findAuditLine returns the audit line of the record in the log entry at the
// offset at.
func findAuditLine(view *fold.View, id core.RecordID, at core.Offset) (fold.AuditLine, bool) {
	if view == nil || at == 0 {
		return fold.AuditLine{}, false
	}
	for _, line := range view.Audit(at-1, maxAuditLines) {
		if line.Offset != at {
			break
		}
		if line.Record == id {
			return line, true
		}
	}
	return fold.AuditLine{}, false
}

// describesChange reports whether the audit line was written for the change.
// Long values are truncated in audit lines, so that only their prefix is
// compared.
func describesChange(line fold.AuditLine, change Change) bool {
	val := string(compactJSON(change.Value))
	sameValue := line.New == val
	if prefix, truncated := strings.CutSuffix(line.New, truncationSuffix); truncated {
		sameValue = sameValue || strings.HasPrefix(val, prefix)
	}
	return line.Kind == fold.KindSetting && line.Subject == string(change.Path) && line.Key == change.Key && sameValue
}

func newRecord(change Change, operator string) recd.Record {
	setting := &recd.Setting{
		Path:  string(change.Path),
		Key:   change.Key,
		Value: compactJSON(change.Value),
		Base:  *change.Base,
		Note:  change.Note,
	}
	return recd.Record{ID: change.ID, By: operator, Setting: setting}
}

// compactJSON returns a valid JSON value without insignificant spaces, or nil
// for nil. It panics if val is invalid.
func compactJSON(val json.RawMessage) []byte {
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

// writeProposalError writes the response to a proposal that got no decision.
// Only the codes of the first case guarantee that nothing was appended; after
// any other the outcome is unknown.
func writeProposalError(ctx *fasthttp.RequestCtx, change Change, err error) {
	failure := Failure{Code: core.CodeOf(err), Path: change.Path, ID: change.ID}
	switch failure.Code {
	case core.CodeLogRefused, core.CodeLogDown, core.CodeNotReady:
		failure.State = StateNotAccepted
		failure.Error = string(change.Path) + ": not accepted: " + errorDetail(err)
	default:
		failure.Code = core.CodeSettingUncertain
		failure.State = StateUnknown
		failure.Error = string(change.Path) + ": not known whether accepted, query the outcome by this ID: " + errorDetail(err)
	}
	writeFailure(ctx, httpStatus(failure.Code), failure)
}

func newReceipt(id core.RecordID, decision fold.Decision) Receipt {
	receipt := Receipt{ID: id, State: StateAccepted, Offset: decision.Offset, Code: decision.Code, Detail: decision.Detail}
	if !decision.Accepted() {
		receipt.State = StateRejected
	}
	return receipt
}
