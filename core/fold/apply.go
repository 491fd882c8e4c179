package fold

import (
	"fmt"
	"strings"

	"kumquathinge/core"
	"kumquathinge/core/recd"
)

const ellipsis = "..."

// Apply applies the next entry and returns the decision on each of its records,
// in order. It returns nil and leaves the state unchanged if the entry is not
// the next one, or if Err is not nil.
//
// An entry that is not a valid batch is rejected as a whole with
// core.CodeRecordBad. An entry that a newer program wrote stops the state
// machine.
func (st *State) Apply(ent core.Entry) []Decision {
	if st.err != nil || ent.Offset != st.offset+1 {
		return nil
	}
	batch, err := recd.Decode(ent.Data)
	if batch.Version > st.supported.Record {
		st.stop(core.CodeRecordBad, "the entry at offset %d has record version %d, this program supports versions up to %d: upgrade this program",
			ent.Offset, batch.Version, st.supported.Record)
		return nil
	}
	if num := st.unsupportedRule(batch); err == nil && num > 0 {
		st.stop(core.CodeRuleUnknown, "the entry at offset %d enables rule %d, this program supports rules up to %d: upgrade this program",
			ent.Offset, num, st.supported.Rule)
		return nil
	}
	st.advance(ent)
	if err != nil {
		return []Decision{{Record: ent.ID, Kind: KindBatch, Code: core.CodeRecordBad, Detail: truncate(err.Error()), Offset: ent.Offset}}
	}
	out := make([]Decision, 0, len(batch.Records))
	for idx := range batch.Records {
		out = append(out, st.applyRecord(ent, &batch.Records[idx]))
	}
	return out
}

func (st *State) stop(code core.Code, format string, args ...any) {
	st.err = core.Errorf(code, format, args...)
	st.view = nil
}

// unsupportedRule returns the first rule of the batch that the program does
// not support, zero if it supports all of them.
func (st *State) unsupportedRule(batch recd.Batch) uint16 {
	for _, rec := range batch.Records {
		if rec.Rule != nil && rec.Rule.Number > st.supported.Rule {
			return rec.Rule.Number
		}
	}
	return 0
}

// advance sets the state's offset and time to those of the entry and removes
// what has expired.
func (st *State) advance(ent core.Entry) {
	st.offset = ent.Offset
	st.view = nil
	if ent.At.After(st.now) {
		st.now = ent.At.UTC().Round(0)
	}
	st.expireDecisions()
	st.expireClaims()
}

// applyRecord applies one record and stores its decision.
func (st *State) applyRecord(ent core.Entry, rec *recd.Record) Decision {
	decision := Decision{Record: rec.ID, Kind: kindOf(rec), By: rec.By, Offset: ent.Offset}
	if old, ok := st.Decision(rec.ID); ok {
		decision.Code = core.CodeDuplicateRecord
		decision.Detail = fmt.Sprintf("the record was decided on at offset %d", old.Offset)
		return decision
	}
	line := AuditLine{Offset: ent.Offset, At: st.now, Record: rec.ID, By: rec.By, Kind: decision.Kind}
	err := st.applyContent(rec, &line)
	if err != nil {
		decision.Code = err.Code()
		decision.Detail = truncate(err.Detail())
	}
	line.Code = decision.Code
	line.Detail = decision.Detail
	st.storeDecision(decision, line)
	return decision
}

// applyContent applies the record, or returns why it is rejected. It fills in
// the audit line of a change of settings or assignments.
func (st *State) applyContent(rec *recd.Record, line *AuditLine) *core.Error {
	if rec.ID == "" || contentCount(rec) != 1 {
		return core.Errorf(core.CodeRecordBad, "the record has no ID or not exactly one content")
	}
	switch {
	case rec.Setting != nil:
		return st.applySetting(rec.Setting, line)
	case rec.Assign != nil:
		return st.applyAssign(rec.Assign, line)
	case rec.Retire != nil:
		return st.applyRetire(rec.Retire, line)
	case rec.Unload != nil:
		return st.applyUnload(rec.Unload, line)
	case rec.Claim != nil:
		return st.applyClaim(rec, rec.Claim)
	case rec.Result != nil:
		return st.applyResult(rec, rec.Result)
	case rec.Release != nil:
		return st.applyRelease(rec, rec.Release)
	case rec.Snapshot != nil:
		return st.applySnapshot(rec.Snapshot)
	}
	return st.applyRule(rec.Rule, line)
}

func contentCount(rec *recd.Record) int {
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

// truncate returns text as valid UTF-8 of at most maxTextBytes bytes.
func truncate(text string) string {
	if len(text) > maxTextBytes {
		text = text[:maxTextBytes-len(ellipsis)] + ellipsis
	}
	return strings.ToValidUTF8(text, "")
}
