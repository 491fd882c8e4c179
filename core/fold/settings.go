package fold

import (
	"slices"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/core/tree"
)

// setting changes one key if the node is at the version that the change was
// made from.
func (sta *State) setting(set *recd.Setting, lin *AuditLine) *core.Error {
	pth := tree.Path(set.Path)
	lin.Subject = set.Path
	lin.Key = set.Key
	lin.New = string(set.Value)
	lin.Note = set.Note
	if old, ok := sta.tre.Lookup(pth, set.Key); ok && old.Origin == pth {
		lin.Old = string(old.Raw)
	}
	err := tree.Validate(pth, set.Key, set.Value)
	if err != nil {
		return core.Errorf(core.CodeOf(err), "%s", detail(err))
	}
	if num := tree.RequiredRuleOf(set.Key); num > 0 && !sta.rules.Has(num) {
		return core.Errorf(core.CodeSettingUnknown, "%s: %s needs rule %d, which is not in force", pth, set.Key, num)
	}
	if ver := sta.tre.Version(pth); ver != set.Base {
		return core.Errorf(core.CodeSettingRaced, "%s was changed by %s at offset %d, this change was made from offset %d",
			pth, sta.changer(pth, ver), ver, set.Base)
	}
	sta.sum -= nodeHash(sta.tre, pth)
	sta.tre = sta.tre.Set(pth, set.Key, set.Value, sta.offset)
	sta.sum += nodeHash(sta.tre, pth)
	return nil
}

// changer returns who made the accepted change of the node at the offset.
func (sta *State) changer(pth tree.Path, at core.Offset) string {
	for _, lin := range slices.Backward(sta.audit) {
		if lin.Offset < at {
			break
		}
		if lin.Offset == at && lin.Code == core.CodeOK && lin.Kind == KindSetting && lin.Subject == string(pth) {
			return lin.By
		}
	}
	return "an earlier operator"
}

func detail(err error) string {
	if ce, ok := err.(*core.Error); ok {
		return ce.Detail()
	}
	return err.Error()
}
