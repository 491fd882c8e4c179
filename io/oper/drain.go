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
	raw, err := body(ctx)
	if err != nil {
		fail(ctx, "", err)
		return
	}
	dra, err := DecodeDrain(raw)
	if err != nil {
		fail(ctx, "", err)
		return
	}
	vie, ok := api.view(ctx)
	if !ok {
		return
	}
	pth, key, err := drainTarget(vie, api.bck.Status(ctx), dra)
	if err != nil {
		fail(ctx, pth, err)
		return
	}
	cha := drainChange(vie.Tree(), pth, key, *dra.On)
	cha.ID = dra.ID
	cha.Note = dra.Note
	api.propose(ctx, cha)
}

// drainChange returns the change that drains pth or ends that. The end of a
// drain removes the key, unless the node would then inherit a drain.
func drainChange(tre *tree.Tree, pth tree.Path, key string, on bool) Change {
	base := tre.Version(pth)
	cha := Change{Path: pth, Key: key, Base: &base}
	if on {
		cha.Value = json.RawMessage("true")
		return cha
	}
	par, _ := pth.Parent()
	if tre.Config(par).Bool(key) {
		cha.Value = json.RawMessage("false")
	}
	return cha
}

// drainTarget returns the node of the tree and the key for a drain, or an
// error if nothing of that name is known.
func drainTarget(vie *fold.View, sta Status, dra Drain) (tree.Path, string, error) {
	switch dra.Kind {
	case KindVM:
		pth := tree.VMPath(core.VMName(dra.Name))
		known := slices.ContainsFunc(sta.VMs, func(vm VMStatus) bool { return string(vm.Name) == dra.Name })
		return pth, drainVMKey, checkTarget(vie, pth, known, core.CodeVMUnknown)
	case KindNode:
		pth := tree.NodePath(core.NodeName(dra.Name))
		known := slices.ContainsFunc(sta.Nodes, func(nod NodeStatus) bool { return string(nod.Name) == dra.Name })
		return pth, drainNodeKey, checkTarget(vie, pth, known, core.CodeNoSuchNode)
	default:
		pth, err := groupPath(vie, dra)
		return pth, drainGroupKey, err
	}
}

func checkTarget(vie *fold.View, pth tree.Path, known bool, cod core.Code) error {
	_, err := pth.Kind()
	if err != nil {
		return err
	}
	if known || vie.Tree().Version(pth) > 0 {
		return nil
	}
	return core.Errorf(cod, "%s: nothing of this name is known", pth)
}

// groupPath finds the model that a group belongs to.
func groupPath(vie *fold.View, dra Drain) (tree.Path, error) {
	grp := core.GroupName(dra.Name)
	if asg, ok := vie.Assignment(grp); ok && dra.Model == "" {
		return tree.GroupPath(asg.Spec.Model, grp), nil
	}
	var found []tree.Path
	for _, pth := range vie.Tree().Paths() {
		plc, err := pth.Kind()
		if err != nil || plc != tree.KindGroup || pth.Name() != dra.Name {
			continue
		}
		if dra.Model == "" || pth == tree.GroupPath(dra.Model, grp) {
			found = append(found, pth)
		}
	}
	switch len(found) {
	case 0:
		return "", core.Errorf(core.CodeGroupUnknown, "no group %q is known", dra.Name)
	case 1:
		return found[0], nil
	default:
		return "", core.Errorf(core.CodeBadRequest, "group %q stands below several models, name one: %v", dra.Name, found)
	}
}
