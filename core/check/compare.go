package check

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// ChangeKind is whether something was added, removed or changed.
type ChangeKind string

// Kinds of changes.
const (
	KindAdded   ChangeKind = "added"
	KindRemoved ChangeKind = "removed"
	KindChanged ChangeKind = "changed"
)

// Effect is what a change means to callers.
type Effect string

// Effects of changes.
const (
	EffectNone        Effect = ""
	EffectTraffic     Effect = "moves-traffic"
	EffectTakesAccess Effect = "takes-access"
	EffectOpensAccess Effect = "opens-access"
)

// Change is a difference between two versions of a configuration. Path and Line are
// those in the newer file, or in the older one for what was removed.
type Change struct {
	Kind ChangeKind `json:"change"`
	Path string     `json:"path"`
	Line int        `json:"line"`
	// Object names the route, service, model or organisation that the change belongs
	// to.
	Object string `json:"object,omitempty"`
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
	Effect Effect `json:"effect,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// String returns the change as one line.
func (chg Change) String() string {
	out := fmt.Sprintf("%d: %s %s", chg.Line, chg.Kind, chg.Path)
	if chg.Object != "" {
		out += " (" + chg.Object + ")"
	}
	switch chg.Kind {
	case KindChanged:
		out += fmt.Sprintf(": %q -> %q", chg.Old, chg.New)
	case KindAdded:
		out += fmt.Sprintf(": %q", chg.New)
	case KindRemoved:
		out += fmt.Sprintf(": %q", chg.Old)
	}
	if chg.Effect != EffectNone {
		out += fmt.Sprintf("; %s: %s", chg.Effect, chg.Reason)
	}
	return out
}

// impact is an effect and its reason.
type impact struct {
	effect Effect
	reason string
}

// comparer collects the differences between two documents.
type comparer struct {
	before, after *Document
	changes       []Change
}

// Compare returns the differences between two versions, sorted by line. Routes are
// matched by host and prefix; services, models and organisations by name; keys by
// their value. If a name is used twice, its first use counts.
func Compare(before, after *Document) []Change {
	cmpr := &comparer{before: before, after: after}
	cmpr.fields("", before.Object, after.Object, nil)
	cmpr.limits()
	cmpr.routes()
	cmpr.services()
	cmpr.orgs()
	slices.SortStableFunc(cmpr.changes, func(one, two Change) int { return cmp.Compare(one.Line, two.Line) })
	return cmpr.changes
}

func (cmpr *comparer) add(kind ChangeKind, place Place, object, before, after string, imp impact) {
	cmpr.changes = append(cmpr.changes, Change{
		Kind: kind, Path: place.Path, Line: place.Line, Object: object, Old: before, New: after, Effect: imp.effect, Reason: imp.reason,
	})
}

// fields compares the fields of an object. Impacts are listed by the path of a field,
// in the older file for removed fields.
func (cmpr *comparer) fields(object string, before, after Object, impacts map[string]impact) {
	matchItems(lastFields(before.Fields), lastFields(after.Fields), func(fld *Field) string { return fld.Name },
		func(fld *Field) { cmpr.add(KindRemoved, fld.Place, object, fld.Text, "", impacts[fld.Path]) },
		func(fld *Field) { cmpr.add(KindAdded, fld.Place, object, "", fld.Text, impacts[fld.Path]) },
		func(was, fld *Field) {
			if was.Text != fld.Text {
				cmpr.add(KindChanged, fld.Place, object, was.Text, fld.Text, impacts[fld.Path])
			}
		})
}

// lastFields returns the fields without those that are set again later in the file,
// which the nodes ignore.
func lastFields(fields []Field) []Field {
	last := make(map[string]int, len(fields))
	for idx, fld := range fields {
		last[fld.Name] = idx
	}
	var out []Field
	for idx, fld := range fields {
		if last[fld.Name] == idx {
			out = append(out, fld)
		}
	}
	return out
}

// index returns the items by key. The first of several with the same key counts.
func index[T any](items []T, key func(*T) string) map[string]*T {
	out := make(map[string]*T, len(items))
	for idx := range items {
		name := key(&items[idx])
		if out[name] == nil {
			out[name] = &items[idx]
		}
	}
	return out
}

// matchItems calls removed, added and both for the items of two versions.
func matchItems[T any](before, after []T, key func(*T) string, removed, added func(*T), both func(before, after *T)) {
	old, now := index(before, key), index(after, key)
	for idx := range before {
		item := &before[idx]
		if old[key(item)] == item && now[key(item)] == nil {
			removed(item)
		}
	}
	for idx := range after {
		item := &after[idx]
		was := old[key(item)]
		switch {
		case now[key(item)] != item:
		case was == nil:
			added(item)
		default:
			both(was, item)
		}
	}
}

// summary returns the fields as text.
func (obj Object) summary(more ...string) string {
	parts := make([]string, 0, len(obj.Fields)+len(more))
	for _, fld := range obj.Fields {
		parts = append(parts, fld.Name+"="+fld.Text)
	}
	return strings.Join(append(parts, more...), " ")
}

func (cmpr *comparer) limits() {
	before, after := &cmpr.before.Limits, &cmpr.after.Limits
	impacts := make(map[string]impact)
	for _, pair := range [][2]Value[int]{{before.MaxHeaderBytes, after.MaxHeaderBytes}, {before.MaxBodyBytes, after.MaxBodyBytes}} {
		if pair[1].Val > 0 && (pair[0].Val <= 0 || pair[1].Val < pair[0].Val) {
			impacts[pair[1].Path] = impact{EffectTakesAccess, "larger requests may be refused"}
		}
	}
	cmpr.fields("", before.Object, after.Object, impacts)
}

func (cmpr *comparer) services() {
	matchItems(cmpr.before.Services, cmpr.after.Services, func(svc *Service) string { return svc.Name.Val },
		func(svc *Service) {
			cmpr.add(KindRemoved, svc.Place, serviceName(svc), svc.summary(), "", cmpr.serviceRemoved(svc))
			cmpr.models(svc, &Service{})
		},
		func(svc *Service) {
			cmpr.add(KindAdded, svc.Place, serviceName(svc), "", svc.summary(), impact{})
			cmpr.models(&Service{}, svc)
		},
		func(before, after *Service) {
			cmpr.fields(serviceName(after), before.Object, after.Object, nil)
			cmpr.models(before, after)
		})
}

func serviceName(svc *Service) string { return fmt.Sprintf("service %q", svc.Name.Val) }

// serviceRemoved returns the impact of the removal of a service, which has one only if
// requests were sent to it.
func (cmpr *comparer) serviceRemoved(svc *Service) impact {
	for idx := range cmpr.before.Routes {
		if cmpr.before.Routes[idx].shares()[svc.Name.Val] > 0 {
			return impact{EffectTraffic, "its servers receive no more requests"}
		}
	}
	return impact{}
}

func (svc *Service) models() []Model {
	if svc.Engine == nil {
		return nil
	}
	return svc.Engine.Models
}

func (cmpr *comparer) models(before, after *Service) {
	served := make(map[string]bool)
	for idx := range cmpr.after.Services {
		for _, model := range cmpr.after.Services[idx].models() {
			served[model.Name.Val] = true
		}
	}
	matchItems(before.models(), after.models(), func(model *Model) string { return model.Name.Val },
		func(model *Model) {
			imp := impact{EffectTakesAccess, "requests for the model are refused"}
			if served[model.Name.Val] {
				imp = impact{EffectTraffic, "another service runs the model"}
			}
			cmpr.add(KindRemoved, model.Place, modelName(model), model.summary(), "", imp)
		},
		func(model *Model) { cmpr.add(KindAdded, model.Place, modelName(model), "", model.summary(), impact{}) },
		func(before, after *Model) {
			size := impact{EffectTraffic, "the groups of the model are formed anew"}
			cmpr.fields(modelName(after), before.Object, after.Object, map[string]impact{before.GroupSize.Path: size, after.GroupSize.Path: size})
		})
}

func modelName(model *Model) string { return fmt.Sprintf("model %q", model.Name.Val) }
