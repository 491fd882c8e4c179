package oper

import (
	"encoding/json"
	"slices"

	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/tree"
)

const (
	drainGroupKey = "group.draining"
	drainVMKey    = "vm.draining"
	drainNodeKey  = "node.draining"
)

func (api *API) postDrain(ctx *fasthttp.RequestCtx) {
	raw, err := jsonBody(ctx)
	if err != nil {
		writeError(ctx, "", err)
		return
	}
	drain, err := DecodeDrain(raw)
	if err != nil {
		writeError(ctx, "", err)
		return
	}
	view, ok := api.view(ctx)
	if !ok {
		return
	}
	path, key, err := drainTarget(view, api.backend.Status(ctx), drain)
	if err != nil {
		writeError(ctx, path, err)
		return
	}
	change := drainChange(view.Tree(), path, key, *drain.On)
	change.ID = drain.ID
	change.Note = drain.Note
	api.propose(ctx, change)
}

// drainChange returns the change that starts or ends the drain of path. Ending a
// drain removes the key, unless path would then inherit a drain from its parent:
// in that case the key is set to false.
func drainChange(settings *tree.Tree, path tree.Path, key string, on bool) Change {
	base := settings.Version(path)
	change := Change{Path: path, Key: key, Base: &base}
	if on {
		change.Value = json.RawMessage("true")
		return change
	}
	parent, _ := path.Parent()
	if settings.Config(parent).Bool(key) {
		change.Value = json.RawMessage("false")
	}
	return change
}

// drainTarget returns the path and the key to set for a drain, or an error if
// the VM, node or group does not exist.
func drainTarget(view *fold.View, status Status, drain Drain) (tree.Path, string, error) {
	switch drain.Kind {
	case KindVM:
		path := tree.VMPath(core.VMName(drain.Name))
		known := slices.ContainsFunc(status.VMs, func(vm VMStatus) bool { return string(vm.Name) == drain.Name })
		return path, drainVMKey, checkTarget(view, path, known, core.CodeVMUnknown)
	case KindNode:
		path := tree.NodePath(core.NodeName(drain.Name))
		known := slices.ContainsFunc(status.Nodes, func(node NodeStatus) bool { return string(node.Name) == drain.Name })
		return path, drainNodeKey, checkTarget(view, path, known, core.CodeNoSuchNode)
	default:
		path, err := groupPath(view, drain)
		return path, drainGroupKey, err
	}
}

func checkTarget(view *fold.View, path tree.Path, known bool, code core.Code) error {
	_, err := path.Kind()
	if err != nil {
		return err
	}
	if known || view.Tree().Version(path) > 0 {
		return nil
	}
	return core.Errorf(code, "%s: nothing of this name is known", path)
}

// groupPath returns the path of a group. Without a model in the drain, it is that
// of the group's assignment. Otherwise the settings tree is searched for the only
// group with this name and, if given, this model.
func groupPath(view *fold.View, drain Drain) (tree.Path, error) {
	group := core.GroupName(drain.Name)
	if assignment, ok := view.Assignment(group); ok && drain.Model == "" {
		return tree.GroupPath(assignment.Spec.Model, group), nil
	}
	var found []tree.Path
	for _, path := range view.Tree().Paths() {
		place, err := path.Kind()
		if err != nil || place != tree.KindGroup || path.Name() != drain.Name {
			continue
		}
		if drain.Model == "" || path == tree.GroupPath(drain.Model, group) {
			found = append(found, path)
		}
	}
	switch len(found) {
	case 0:
		return "", core.Errorf(core.CodeGroupUnknown, "no group %q is known", drain.Name)
	case 1:
		return found[0], nil
	default:
		return "", core.Errorf(core.CodeBadRequest, "group %q exists below several models, specify the model: %v", drain.Name, found)
	}
}
