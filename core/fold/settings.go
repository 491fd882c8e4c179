package fold

import (
	"slices"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/core/tree"
)

// applySetting changes one key if the node's version is still the record's
// Base.
func (st *State) applySetting(set *recd.Setting, line *AuditLine) *core.Error {
	path := tree.Path(set.Path)
	line.Subject = set.Path
	line.Key = set.Key
	line.New = string(set.Value)
	line.Note = set.Note
	if old, ok := st.settings.Lookup(path, set.Key); ok && old.Origin == path {
		line.Old = string(old.Raw)
	}
	err := tree.Validate(path, set.Key, set.Value)
	if err != nil {
		return core.Errorf(core.CodeOf(err), "%s", errorDetail(err))
	}
	if num := tree.RequiredRuleOf(set.Key); num > 0 && !st.rules.Has(num) {
		return core.Errorf(core.CodeSettingUnknown, "%s: %s needs rule %d, which is not in force", path, set.Key, num)
	}
	if version := st.settings.Version(path); version != set.Base {
		return core.Errorf(core.CodeSettingRaced, "%s was changed by %s at offset %d, this change was made from offset %d",
			path, st.changedBy(path, version), version, set.Base)
	}
	st.itemHashSum -= nodeHash(st.settings, path)
	st.settings = st.settings.Set(path, set.Key, set.Value, st.offset)
	st.itemHashSum += nodeHash(st.settings, path)
	return nil
}

// changedBy returns who made the accepted change of the node at the offset.
func (st *State) changedBy(path tree.Path, offset core.Offset) string {
	for _, line := range slices.Backward(st.audit) {
		if line.Offset < offset {
			break
		}
		if line.Offset == offset && line.Code == core.CodeOK && line.Kind == KindSetting && line.Subject == string(path) {
			return line.By
		}
	}
	return "an earlier operator"
}

func errorDetail(err error) string {
	if coreErr, ok := err.(*core.Error); ok {
		return coreErr.Detail()
	}
	return err.Error()
}
