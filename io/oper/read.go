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

// view returns the folded state. If there is none yet, it writes an error
// response and returns false.
func (api *API) view(ctx *fasthttp.RequestCtx) (*fold.View, bool) {
	view := api.backend.View()
	if view == nil {
		writeError(ctx, "", errNoState())
	}
	return view, view != nil
}

func errNoState() error {
	return core.Errorf(core.CodeNotReady, "this node has no state of the log yet")
}

func (api *API) getSettings(ctx *fasthttp.RequestCtx) {
	path, err := queryPath(ctx)
	if err != nil {
		writeError(ctx, path, err)
		return
	}
	explain, err := queryBool(ctx, "explain")
	if err != nil {
		writeError(ctx, path, err)
		return
	}
	view, ok := api.view(ctx)
	if !ok {
		return
	}
	writeJSON(ctx, settingsAt(view, path, explain))
}

func settingsAt(view *fold.View, path tree.Path, explain bool) Settings {
	settings := view.Tree()
	out := Settings{
		Path:     path,
		Version:  settings.Version(path),
		Applied:  view.Offset(),
		Children: settings.Children(path),
		Values:   []Setting{},
	}
	for _, val := range settings.EffectiveValues(path) {
		setting := Setting{Key: val.Key, Value: val.Raw, Origin: val.Origin, Version: val.Version}
		if explain {
			explainSetting(settings, path, &setting)
		}
		out.Values = append(out.Values, setting)
	}
	return out
}

func explainSetting(settings *tree.Tree, path tree.Path, setting *Setting) {
	for cur, ok := path, true; ok; cur, ok = cur.Parent() {
		for _, own := range settings.OwnValues(cur) {
			if own.Key == setting.Key {
				setting.Sources = append(setting.Sources, Source{Path: cur, Value: own.Raw, Version: own.Version})
			}
		}
	}
	for _, key := range tree.Keys() {
		if key.Name != setting.Key {
			continue
		}
		setting.Type = key.Type
		setting.Doc = key.Doc
		setting.Sources = append(setting.Sources, Source{Path: tree.OriginDefault, Value: []byte(key.Default)})
	}
}

func (api *API) getHistory(ctx *fasthttp.RequestCtx) {
	path, err := queryPath(ctx)
	if err != nil {
		writeError(ctx, path, err)
		return
	}
	view, ok := api.view(ctx)
	if !ok {
		return
	}
	audit := Audit{Applied: view.Offset(), Lines: []fold.AuditLine{}}
	for _, line := range view.Audit(0, maxAuditLines) {
		if line.Kind == fold.KindSetting && line.Subject == string(path) {
			audit.Lines = append(audit.Lines, line)
		}
	}
	writeJSON(ctx, audit)
}

func (api *API) getAudit(ctx *fasthttp.RequestCtx) {
	after, err := queryUint(ctx, "after", 0)
	if err != nil {
		writeError(ctx, "", err)
		return
	}
	limit, err := queryUint(ctx, "max", defaultAuditLines)
	if err != nil {
		writeError(ctx, "", err)
		return
	}
	view, ok := api.view(ctx)
	if !ok {
		return
	}
	lines := view.Audit(core.Offset(after), int(min(limit, maxAuditLines)))
	writeJSON(ctx, Audit{Applied: view.Offset(), Lines: append([]fold.AuditLine{}, lines...)})
}

func (api *API) getOutcome(ctx *fasthttp.RequestCtx) {
	id := core.RecordID(ctx.QueryArgs().Peek("id"))
	if id == "" {
		writeError(ctx, "", core.Errorf(core.CodeBadRequest, "id is missing"))
		return
	}
	view, ok := api.view(ctx)
	if !ok {
		return
	}
	decision, ok := api.backend.Outcome(id)
	if !ok {
		writeFailure(ctx, fasthttp.StatusNotFound, Failure{
			Code:   core.CodeSettingUncertain,
			Error:  "no change with this ID is among those remembered; if it was sent a moment ago, ask again",
			ID:     id,
			State:  StateUnknown,
			Offset: view.Offset(),
		})
		return
	}
	receipt := newReceipt(id, decision)
	if line, known := findAuditLine(view, id, decision.Offset); known && line.Kind == fold.KindSetting {
		receipt.Path = tree.Path(line.Subject)
		receipt.Key = line.Key
	}
	writeJSON(ctx, receipt)
}

func (api *API) getStatus(ctx *fasthttp.RequestCtx) { writeJSON(ctx, api.backend.Status(ctx)) }

func (api *API) getGroups(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, Groups{Groups: api.backend.Status(ctx).Groups})
}

func (api *API) getVMs(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, VMs{VMs: api.backend.Status(ctx).VMs})
}

func (api *API) getNodes(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, Nodes{Nodes: api.backend.Status(ctx).Nodes})
}
