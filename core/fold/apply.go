package fold

import (
	"fmt"
	"strings"

	"kumquathinge/core"
	"kumquathinge/core/recd"
)

const ellipsis = "..."

// Apply folds the next entry and returns a verdict on each of its records, in
// their order. It returns nil and leaves the state unchanged for an entry that
// is not the next one, and after Err has become non-nil.
//
// An entry that no program could have written is rejected whole with
// core.CodeRecordBad. One that a newer program wrote stops the fold.
func (sta *State) Apply(ent core.Entry) []Verdict {
	if sta.err != nil || ent.Offset != sta.offset+1 {
		return nil
	}
	bat, err := recd.Decode(ent.Data)
	if bat.Version > sta.prg.Version {
		sta.stop(core.CodeRecordBad, "the entry at offset %d has record version %d, this program knows up to %d: upgrade this program",
			ent.Offset, bat.Version, sta.prg.Version)
		return nil
	}
	if num := sta.strangeRule(bat); err == nil && num > 0 {
		sta.stop(core.CodeRuleUnknown, "the entry at offset %d turns on rule %d, this program knows up to %d: upgrade this program",
			ent.Offset, num, sta.prg.Rules)
		return nil
	}
	sta.advance(ent)
	if err != nil {
		return []Verdict{{Record: ent.ID, Kind: KindBatch, Code: core.CodeRecordBad, Detail: clip(err.Error()), Offset: ent.Offset}}
	}
	out := make([]Verdict, 0, len(bat.Records))
	for idx := range bat.Records {
		out = append(out, sta.record(ent, &bat.Records[idx]))
	}
	return out
}

func (sta *State) stop(cod core.Code, format string, args ...any) {
	sta.err = core.Errorf(cod, format, args...)
	sta.view = nil
}

// strangeRule returns the first rule of the batch that the program does not
// know, zero if it knows all.
func (sta *State) strangeRule(bat recd.Batch) uint16 {
	for _, rec := range bat.Records {
		if rec.Rule != nil && rec.Rule.Number > sta.prg.Rules {
			return rec.Rule.Number
		}
	}
	return 0
}

// advance moves the state to the entry's offset and time.
func (sta *State) advance(ent core.Entry) {
	sta.offset = ent.Offset
	sta.view = nil
	if ent.At.After(sta.now) {
		sta.now = ent.At.UTC().Round(0)
	}
	sta.expireVerdicts()
	sta.expireClaims()
}

// record decides on one record and remembers the verdict.
func (sta *State) record(ent core.Entry, rec *recd.Record) Verdict {
	ver := Verdict{Record: rec.ID, Kind: kindOf(rec), By: rec.By, Offset: ent.Offset}
	if old, ok := sta.Outcome(rec.ID); ok {
		ver.Code = core.CodeDuplicateRecord
		ver.Detail = fmt.Sprintf("the record was decided on at offset %d", old.Offset)
		return ver
	}
	lin := AuditLine{Offset: ent.Offset, At: sta.now, Record: rec.ID, By: rec.By, Kind: ver.Kind}
	err := sta.decide(rec, &lin)
	if err != nil {
		ver.Code = err.Code()
		ver.Detail = clip(err.Detail())
	}
	lin.Code = ver.Code
	lin.Detail = ver.Detail
	sta.remember(ver, lin)
	return ver
}

// decide applies the record if its premise holds and else tells why not. It
// fills the audit line of a change of the settings or assignments.
func (sta *State) decide(rec *recd.Record, lin *AuditLine) *core.Error {
	if rec.ID == "" || parts(rec) != 1 {
		return core.Errorf(core.CodeRecordBad, "the record has no ID or not exactly one content")
	}
	switch {
	case rec.Setting != nil:
		return sta.setting(rec.Setting, lin)
	case rec.Assign != nil:
		return sta.assign(rec.Assign, lin)
	case rec.Retire != nil:
		return sta.retire(rec.Retire, lin)
	case rec.Unload != nil:
		return sta.unload(rec.Unload, lin)
	case rec.Claim != nil:
		return sta.claim(rec, rec.Claim)
	case rec.Result != nil:
		return sta.result(rec, rec.Result)
	case rec.Release != nil:
		return sta.release(rec, rec.Release)
	case rec.Snapshot != nil:
		return sta.snapshot(rec.Snapshot)
	}
	return sta.rule(rec.Rule, lin)
}

func parts(rec *recd.Record) int {
	num := 0
	for _, has := range []bool{
		rec.Setting != nil, rec.Assign != nil, rec.Retire != nil, rec.Unload != nil, rec.Claim != nil,
		rec.Result != nil, rec.Release != nil, rec.Snapshot != nil, rec.Rule != nil,
	} {
		if has {
			num++
		}
	}
	return num
}

func kindOf(rec *recd.Record) string {
	switch {
	case rec.Setting != nil:
		return KindSetting
	case rec.Assign != nil:
		return KindAssign
	case rec.Retire != nil:
		return KindRetire
	case rec.Unload != nil:
		return KindUnload
	case rec.Claim != nil:
		return KindClaim
	case rec.Result != nil:
		return KindResult
	case rec.Release != nil:
		return KindRelease
	case rec.Snapshot != nil:
		return KindSnapshot
	case rec.Rule != nil:
		return KindRule
	}
	return KindBatch
}

// clip returns txt as valid UTF-8 of at most textLimit bytes.
func clip(txt string) string {
	if len(txt) > textLimit {
		txt = txt[:textLimit-len(ellipsis)] + ellipsis
	}
	return strings.ToValidUTF8(txt, "")
}
