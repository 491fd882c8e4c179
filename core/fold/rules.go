package fold

import (
	"fmt"

	"kumquathinge/core"
	"kumquathinge/core/recd"
)

// RuleGroupSettings is the rule that an assignment has as many VMs as the
// group's settings say and lies in the domain that they name.
const RuleGroupSettings uint16 = 1

// rule turns a rule on from the next record on. Apply has stopped before a
// rule that the program does not know.
func (sta *State) rule(rul *recd.Rule, lin *AuditLine) *core.Error {
	lin.Subject = fmt.Sprintf("rule %d", rul.Number)
	lin.New = "in force"
	if rul.Number == 0 {
		return core.Errorf(core.CodeRuleUnknown, "rules are numbered from 1")
	}
	if sta.rules.Has(rul.Number) {
		return core.Errorf(core.CodeRuleUnknown, "rule %d is in force already", rul.Number)
	}
	sta.rules.Add(rul.Number)
	sta.sum += itemHash(itemRule, rul.Number)
	return nil
}

// snapProgress counts the chunks seen of one snapshot. Every chunk counts
// once, whoever wrote it: equal states have equal chunks.
type snapProgress struct {
	At   core.Offset `cbor:"1,keyasint"`
	Hash uint64      `cbor:"2,keyasint"`
	Size int         `cbor:"3,keyasint"`
	Seen []int       `cbor:"4,keyasint"`
}

// MaxSnapshotParts is the greatest number of chunks of a snapshot.
const MaxSnapshotParts = 1 << 12

// snapshot notes a chunk. The chunk's data is not part of the state.
func (sta *State) snapshot(snp *recd.Snapshot) *core.Error {
	if snp.Parts < 1 || snp.Parts > MaxSnapshotParts || snp.Part < 0 || snp.Part >= snp.Parts || snp.At >= sta.offset {
		return core.Errorf(core.CodeSnapshotBad, "part %d of %d of a snapshot at offset %d can't be", snp.Part, snp.Parts, snp.At)
	}
	if snp.At <= sta.snapAt {
		return nil
	}
	pro := sta.progress(snp)
	pro.add(snp.Part)
	if len(pro.Seen) == snp.Parts {
		sta.snapAt = snp.At
		sta.dropProgress()
	}
	return nil
}

func (sta *State) progress(snp *recd.Snapshot) *snapProgress {
	for idx := range sta.snaps {
		pro := &sta.snaps[idx]
		if pro.At == snp.At && pro.Hash == snp.Hash && pro.Size == snp.Parts {
			return pro
		}
	}
	if len(sta.snaps) == snapLimit {
		sta.snaps = append(sta.snaps[:0:0], sta.snaps[1:]...)
	}
	sta.snaps = append(sta.snaps, snapProgress{At: snp.At, Hash: snp.Hash, Size: snp.Parts})
	return &sta.snaps[len(sta.snaps)-1]
}

func (pro *snapProgress) add(part int) {
	for _, old := range pro.Seen {
		if old == part {
			return
		}
	}
	pro.Seen = append(pro.Seen, part)
}

// dropProgress forgets the snapshots that are no newer than the newest whole
// one.
func (sta *State) dropProgress() {
	var out []snapProgress
	for _, pro := range sta.snaps {
		if pro.At > sta.snapAt {
			out = append(out, pro)
		}
	}
	sta.snaps = out
}
