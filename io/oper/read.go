package oper

import (
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/tree"
)

const (
	defaultAuditLines = 100
	maxAuditLines     = 1 << 16
)

// view returns the folded state, or answers that there is none yet.
func (api *API) view(ctx *fasthttp.RequestCtx) (*fold.View, bool) {
	vie := api.bck.View()
	if vie == nil {
		fail(ctx, "", errNoState())
	}
	return vie, vie != nil
}

func errNoState() error {
	return core.Errorf(core.CodeNotReady, "this node has no state of the log yet")
}

func (api *API) getSettings(ctx *fasthttp.RequestCtx) {
	pth, err := queryPath(ctx)
	if err != nil {
		fail(ctx, pth, err)
		return
	}
	explain, err := queryBool(ctx, "explain")
	if err != nil {
		fail(ctx, pth, err)
		return
	}
	vie, ok := api.view(ctx)
	if !ok {
		return
	}
	answer(ctx, settingsAt(vie, pth, explain))
}

func settingsAt(vie *fold.View, pth tree.Path, explain bool) Settings {
	tre := vie.Tree()
	out := Settings{
		Path:     pth,
		Version:  tre.Version(pth),
		Applied:  vie.Offset(),
		Children: tre.Children(pth),
		Values:   []Setting{},
	}
	for _, val := range tre.EffectiveValues(pth) {
		set := Setting{Key: val.Key, Value: val.Raw, Origin: val.Origin, Version: val.Version}
		if explain {
			explainSetting(tre, pth, &set)
		}
		out.Values = append(out.Values, set)
	}
	return out
}

func explainSetting(tre *tree.Tree, pth tree.Path, set *Setting) {
	for cur, ok := pth, true; ok; cur, ok = cur.Parent() {
		for _, own := range tre.OwnValues(cur) {
			if own.Key == set.Key {
				set.Chain = append(set.Chain, Step{Path: cur, Value: own.Raw, Version: own.Version})
			}
		}
	}
	for _, key := range tree.Keys() {
		if key.Name != set.Key {
			continue
		}
		set.Type = key.Type
		set.Doc = key.Doc
		set.Chain = append(set.Chain, Step{Path: tree.OriginDefault, Value: []byte(key.Default)})
	}
}

func (api *API) getHistory(ctx *fasthttp.RequestCtx) {
	pth, err := queryPath(ctx)
	if err != nil {
		fail(ctx, pth, err)
		return
	}
	vie, ok := api.view(ctx)
	if !ok {
		return
	}
	aud := Audit{Applied: vie.Offset(), Lines: []fold.AuditLine{}}
	for _, lin := range vie.Audit(0, maxAuditLines) {
		if lin.Kind == fold.KindSetting && lin.Subject == string(pth) {
			aud.Lines = append(aud.Lines, lin)
		}
	}
	answer(ctx, aud)
}

func (api *API) getAudit(ctx *fasthttp.RequestCtx) {
	after, err := queryUint(ctx, "after", 0)
	if err != nil {
		fail(ctx, "", err)
		return
	}
	limit, err := queryUint(ctx, "max", defaultAuditLines)
	if err != nil {
		fail(ctx, "", err)
		return
	}
	vie, ok := api.view(ctx)
	if !ok {
		return
	}
	lns := vie.Audit(core.Offset(after), int(min(limit, maxAuditLines)))
	answer(ctx, Audit{Applied: vie.Offset(), Lines: append([]fold.AuditLine{}, lns...)})
}

func (api *API) getOutcome(ctx *fasthttp.RequestCtx) {
	id := core.RecordID(ctx.QueryArgs().Peek("id"))
	if id == "" {
		fail(ctx, "", core.Errorf(core.CodeBadRequest, "id is missing"))
		return
	}
	vie, ok := api.view(ctx)
	if !ok {
		return
	}
	ver, ok := api.bck.Outcome(id)
	if !ok {
		failStatus(ctx, fasthttp.StatusNotFound, Failure{
			Code:   core.CodeSettingUncertain,
			Error:  "no change with this ID is among those remembered; if it was sent a moment ago, ask again",
			ID:     id,
			State:  StateUnknown,
			Offset: vie.Offset(),
		})
		return
	}
	rec := receiptOf(id, ver)
	if lin, known := lineOf(vie, id, ver.Offset); known && lin.Kind == fold.KindSetting {
		rec.Path = tree.Path(lin.Subject)
		rec.Key = lin.Key
	}
	answer(ctx, rec)
}

func (api *API) getStatus(ctx *fasthttp.RequestCtx) { answer(ctx, api.bck.Status(ctx)) }

func (api *API) getGroups(ctx *fasthttp.RequestCtx) {
	answer(ctx, Groups{Groups: api.bck.Status(ctx).Groups})
}

func (api *API) getVMs(ctx *fasthttp.RequestCtx) { answer(ctx, VMs{VMs: api.bck.Status(ctx).VMs}) }

func (api *API) getNodes(ctx *fasthttp.RequestCtx) {
	answer(ctx, Nodes{Nodes: api.bck.Status(ctx).Nodes})
}
