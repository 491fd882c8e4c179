package oper

import (
	"context"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/core/recd"
)

// RuleChange turns on a rule of the fold, which can't be turned off. ID is that of the
// change; empty selects one.
type RuleChange struct {
	ID     core.RecordID `json:"id,omitempty"`
	Number uint16        `json:"number"`
}

func (api *API) postRule(ctx *fasthttp.RequestCtx) {
	raw, err := jsonBody(ctx)
	if err != nil {
		writeError(ctx, "", err)
		return
	}
	var rule RuleChange
	err = decodeStrict(raw, &rule)
	if err == nil {
		err = checkIDAndNote(rule.ID, "")
	}
	if err != nil {
		writeError(ctx, "", err)
		return
	}
	if _, ok := api.view(ctx); !ok {
		return
	}
	if rule.ID == "" {
		rule.ID = core.RecordID(uuid.NewString())
	}
	proposeCtx, cancel := context.WithTimeout(context.Background(), api.proposeTimeout)
	defer cancel()
	decision, err := api.backend.Propose(proposeCtx, recd.Record{ID: rule.ID, By: operatorName(ctx), Rule: &recd.Rule{Number: rule.Number}})
	if err != nil {
		writeProposalError(ctx, Change{ID: rule.ID}, err)
		return
	}
	if original, ok := api.backend.Outcome(rule.ID); ok && decision.Code == core.CodeDuplicateRecord {
		decision = original
	}
	if !decision.Accepted() {
		writeFailure(ctx, httpStatus(decision.Code), Failure{Code: decision.Code, Error: decision.Detail, ID: rule.ID, State: StateRejected, Offset: decision.Offset})
		return
	}
	writeJSON(ctx, newReceipt(rule.ID, decision))
}
