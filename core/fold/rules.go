package fold

import (
	"fmt"

	"kumquathinge/core"
	"kumquathinge/core/recd"
)

// RuleGroupSettings is the rule that an assignment must match the group's
// settings in the number of VMs and in the domain.
const RuleGroupSettings uint16 = 1

// RuleZoneEvacuation is the rule that enables the setting zone.evacuated.
const RuleZoneEvacuation uint16 = 2

// applyRule enables a rule for all later records. Apply stops before a rule
// that the program does not support.
func (st *State) applyRule(rule *recd.Rule, line *AuditLine) *core.Error {
	line.Subject = fmt.Sprintf("rule %d", rule.Number)
	line.New = "in force"
	if rule.Number == 0 {
		return core.Errorf(core.CodeRuleUnknown, "rules are numbered from 1")
	}
	if st.rules.Has(rule.Number) {
		return core.Errorf(core.CodeRuleUnknown, "rule %d is in force already", rule.Number)
	}
	st.rules.Add(rule.Number)
	st.itemHashSum += itemHash(itemRule, rule.Number)
	return nil
}

// partialSnapshot records which chunks of one snapshot were seen. A chunk
// counts once, whoever wrote it: equal states have equal chunks.
type partialSnapshot struct {
	Offset   core.Offset `cbor:"1,keyasint"`
	Hash     uint64      `cbor:"2,keyasint"`
	Parts    int         `cbor:"3,keyasint"`
	Received []int       `cbor:"4,keyasint"`
}

// MaxSnapshotParts is the maximum number of chunks of a snapshot.
const MaxSnapshotParts = 1 << 12

// applySnapshot records a chunk. The chunk's data is not part of the state.
func (st *State) applySnapshot(chunk *recd.SnapshotChunk) *core.Error {
	if chunk.Parts < 1 || chunk.Parts > MaxSnapshotParts || chunk.Part < 0 || chunk.Part >= chunk.Parts || chunk.Offset >= st.offset {
		return core.Errorf(core.CodeSnapshotBad, "part %d of %d of a snapshot at offset %d can't be", chunk.Part, chunk.Parts, chunk.Offset)
	}
	if chunk.Offset <= st.snapshotOffset {
		return nil
	}
	partial := st.partialSnapshot(chunk)
	partial.add(chunk.Part)
	if len(partial.Received) == chunk.Parts {
		st.snapshotOffset = chunk.Offset
		st.deleteObsoleteSnapshots()
	}
	return nil
}

func (st *State) partialSnapshot(chunk *recd.SnapshotChunk) *partialSnapshot {
	for idx := range st.partialSnapshots {
		partial := &st.partialSnapshots[idx]
		if partial.Offset == chunk.Offset && partial.Hash == chunk.Hash && partial.Parts == chunk.Parts {
			return partial
		}
	}
	if len(st.partialSnapshots) == maxPartialSnapshots {
		st.partialSnapshots = append(st.partialSnapshots[:0:0], st.partialSnapshots[1:]...)
	}
	st.partialSnapshots = append(st.partialSnapshots, partialSnapshot{Offset: chunk.Offset, Hash: chunk.Hash, Parts: chunk.Parts})
	return &st.partialSnapshots[len(st.partialSnapshots)-1]
}

func (partial *partialSnapshot) add(part int) {
	for _, old := range partial.Received {
		if old == part {
			return
		}
	}
	partial.Received = append(partial.Received, part)
}

// deleteObsoleteSnapshots deletes the partial snapshots that are no newer than
// the newest complete one.
func (st *State) deleteObsoleteSnapshots() {
	var out []partialSnapshot
	for _, partial := range st.partialSnapshots {
		if partial.Offset > st.snapshotOffset {
			out = append(out, partial)
		}
	}
	st.partialSnapshots = out
}
