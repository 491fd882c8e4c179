package fold_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
)

var start = time.Unix(1_800_000_000, 0).UTC()

// entry returns a log entry with the records and assigns IDs to those that
// have none.
func entry(off core.Offset, at time.Time, recs ...recd.Record) core.Entry {
	for idx := range recs {
		if recs[idx].ID == "" {
			recs[idx].ID = core.RecordID(fmt.Sprintf("r%d.%d", off, idx))
		}
	}
	return core.Entry{Offset: off, At: at, Data: recd.Encode(recd.Batch{Version: recd.Version, Records: recs})}
}

func set(path, key, raw string, base core.Offset) recd.Record {
	return recd.Record{By: "ana", Setting: &recd.Setting{Path: path, Key: key, Value: []byte(raw), Base: base}}
}

func assign(group core.GroupName, base core.Offset, vms ...core.VMName) recd.Record {
	return recd.Record{By: "n1", Assign: &recd.Assign{
		Group: group, Zone: "z1", Domain: "d1", VMs: vms, Spec: core.Spec{Model: "m1", Version: "1"}, Base: base,
	}}
}

func retire(group core.GroupName, base core.Offset) recd.Record {
	return recd.Record{By: "n1", Retire: &recd.Retire{Group: group, Base: base, Reason: "test"}}
}

func unload(group core.GroupName, base core.Offset, vms ...core.VMName) recd.Record {
	return recd.Record{By: "n1", Unload: &recd.Unload{Group: group, Base: base, VMs: vms}}
}

func claim(key core.IdempotencyKey, issued time.Time, digest uint64, by core.NodeName) recd.Record {
	return recd.Record{By: string(by), Claim: &recd.Claim{Org: "o1", Key: key, Issued: issued, Digest: digest, Holder: by}}
}

func result(key core.IdempotencyKey, claimOffset core.Offset, unknown bool, by string) recd.Record {
	return recd.Record{By: by, Result: &recd.Result{
		Org: "o1", Key: key, Claim: claimOffset, Unknown: unknown, Reply: core.Reply{Status: 200, Body: []byte("ok")},
	}}
}

func release(key core.IdempotencyKey, claimOffset core.Offset, by string) recd.Record {
	return recd.Record{By: by, Release: &recd.Release{Org: "o1", Key: key, Claim: claimOffset}}
}

func rule(num uint16) recd.Record {
	return recd.Record{By: "ana", Rule: &recd.Rule{Number: num}}
}

// step is one entry with one record and the expected code of its decision.
type step struct {
	rec  recd.Record
	want core.Code
	at   time.Duration
}

func TestDecisions(t *testing.T) {
	const window = 10*time.Minute + 5*time.Second
	ok := core.CodeOK
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"settings", []step{
			{rec: set("/", "queue.depth", "7", 0), want: ok},
			{rec: set("/", "queue.depth", "8", 0), want: core.CodeSettingRaced},
			{rec: set("/", "org.priority", "3", 1), want: ok},
			{rec: set("/", "queue.depth", "-1", 3), want: core.CodeSettingInvalid},
			{rec: set("/", "queue.deep", "1", 3), want: core.CodeSettingUnknown},
			{rec: set("/racks/r1", "queue.depth", "1", 0), want: core.CodeNoSuchNode},
			{rec: set("/orgs/o1", "org.priority", "", 0), want: ok},
			{rec: set("/orgs/o1", "org.priority", "4", 0), want: core.CodeSettingRaced},
		}},
		{"assign, retire and unload", []step{
			{rec: assign("g1", 0, "v1", "v2"), want: ok},
			{rec: assign("g1", 1, "v3"), want: core.CodeNotRetired},
			{rec: assign("g2", 0, "v2"), want: core.CodeVMHeld},
			{rec: unload("g1", 1, "v1"), want: core.CodeNotRetired},
			{rec: retire("g1", 9), want: core.CodeGeneration},
			{rec: retire("g9", 0), want: core.CodeGroupUnknown},
			{rec: retire("g1", 1), want: ok},
			{rec: retire("g1", 1), want: core.CodeGeneration},
			{rec: assign("g1", 1, "v1"), want: core.CodeVMHeld},
			{rec: unload("g1", 1, "v1", "v9"), want: core.CodeGeneration},
			{rec: unload("g1", 1, "v1"), want: ok},
			{rec: assign("g1", 0, "v1"), want: core.CodeGeneration},
			{rec: assign("g1", 1, "v1", "v3"), want: ok},
			{rec: assign("g2", 0, "v2"), want: core.CodeVMHeld},
			{rec: unload("g1", 13, "v1"), want: core.CodeNotRetired},
			{rec: unload("g1", 13, "v2"), want: core.CodeNotRetired},
			{rec: unload("g1", 1, "v1"), want: core.CodeGeneration},
			{rec: unload("g1", 1, "v2", "v2"), want: ok},
			{rec: assign("g2", 0, "v2"), want: ok},
			{rec: assign("g3", 0, "v5", "v5"), want: core.CodeRecordBad},
			{rec: assign("g3", 0), want: core.CodeRecordBad},
		}},
		{"claims", []step{
			{rec: claim("k", start, 1, "n1"), want: ok},
			{rec: claim("k", start, 1, "n2"), want: core.CodeClaimTaken},
			{rec: claim("k", start, 2, "n2"), want: core.CodeKeyMismatch},
			{rec: result("k", 1, true, "n2"), want: core.CodeClaimNotHolder},
			{rec: result("k", 2, true, "n1"), want: core.CodeClaimNotHolder},
			{rec: result("k", 1, true, "n1"), want: ok},
			{rec: release("k", 1, "n1"), want: core.CodeClaimTaken},
			{rec: result("k", 1, false, "n1"), want: ok},
			{rec: result("k", 1, true, "n1"), want: core.CodeClaimTaken},
			{rec: claim("free", start, 1, "n1"), want: ok},
			{rec: release("free", 10, "n2"), want: core.CodeClaimNotHolder},
			{rec: release("free", 10, "n1"), want: ok},
			{rec: claim("free", start, 1, "n2"), want: ok},
			{rec: release("free", 10, "n1"), want: core.CodeClaimNotHolder},
			{rec: claim("", start, 1, "n1"), want: core.CodeRecordBad},
		}},
		{"claim window", []step{
			{rec: claim("old", start.Add(-window), 1, "n1"), want: ok},
			{rec: claim("older", start.Add(-window-1), 1, "n1"), want: core.CodeKeyExpired},
			{rec: claim("early", start.Add(5*time.Second), 1, "n1"), want: ok},
			{rec: claim("earlier", start.Add(5*time.Second+1), 1, "n1"), want: core.CodeBadRequest},
			{rec: claim("k", start, 1, "n1"), want: ok},
			{rec: claim("k", start, 1, "n2"), want: core.CodeClaimTaken, at: window},
			{rec: claim("k", start, 1, "n2"), want: core.CodeKeyExpired, at: window + 1},
			// An entry with an older time does not move the window back.
			{rec: claim("k", start, 1, "n2"), want: core.CodeKeyExpired},
			// A longer window does not move it back either.
			{rec: set("/", "once.window", `"1h"`, 0), want: ok},
			{rec: claim("k", start, 1, "n2"), want: core.CodeKeyExpired},
			{rec: claim("late", start.Add(time.Minute), 1, "n2"), want: ok},
			// A retry with a later issue time extends the retention of the key.
			{rec: claim("late", start.Add(9*time.Minute), 1, "n2"), want: core.CodeClaimTaken},
			{rec: claim("late", start.Add(9*time.Minute), 1, "n2"), want: core.CodeClaimTaken, at: 65 * time.Minute},
		}},
		{"a rule applies after its record", []step{
			{rec: set("/", "group.size", "2", 0), want: ok},
			{rec: assign("g1", 0, "v1"), want: ok},
			{rec: rule(fold.RuleGroupSettings), want: ok},
			{rec: rule(fold.RuleGroupSettings), want: core.CodeRuleUnknown},
			{rec: assign("g2", 0, "v2"), want: core.CodeGeneration},
			{rec: set("/models/m1", "group.domain", `"d2"`, 0), want: ok},
			{rec: assign("g2", 0, "v2", "v3"), want: core.CodeMixedDomain},
			{rec: set("/models/m1/groups/g2", "group.domain", `"d1"`, 0), want: ok},
			{rec: assign("g2", 0, "v2", "v3"), want: ok},
		}},
		{"duplicate and empty records", []step{
			{rec: recd.Record{ID: "x", Setting: set("/", "queue.depth", "7", 0).Setting}, want: ok},
			{rec: recd.Record{ID: "x", Setting: set("/", "queue.depth", "8", 1).Setting}, want: core.CodeDuplicateRecord},
			{rec: recd.Record{}, want: core.CodeRecordBad},
			{rec: recd.Record{Rule: &recd.Rule{Number: 1}, Retire: &recd.Retire{}}, want: core.CodeRecordBad},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := fold.New()
			for idx, step := range tc.steps {
				off := core.Offset(idx + 1)
				decisions := st.Apply(entry(off, start.Add(step.at), step.rec))
				assert.Equal(t, len(decisions), 1)
				assert.Equal(t, decisions[0].Code, step.want, "entry %d: %s", off, decisions[0].Detail)
				st = roundTrip(t, st)
			}
		})
	}
}

// roundTrip returns the decoded encoding of the state. Decode also compares
// the incrementally updated hash with one computed from scratch.
func roundTrip(t *testing.T, st *fold.State) *fold.State {
	t.Helper()
	data := st.Encode()
	out, err := fold.Decode(data)
	assert.NilError(t, err)
	assert.Equal(t, out.Hash(), st.Hash())
	assert.DeepEqual(t, out.Encode(), data)
	return out
}

// TestUnsupportedEntries checks that an entry that is not a valid batch is
// skipped, and that an entry of a newer program stops the state machine before
// it.
func TestUnsupportedEntries(t *testing.T) {
	mustCBOR := func(val any) []byte {
		out, err := cbor.Marshal(val)
		assert.NilError(t, err)
		return out
	}
	for _, tc := range []struct {
		name string
		data []byte
		stop core.Code
	}{
		{"empty", nil, core.CodeOK},
		{"text", []byte("hello"), core.CodeOK},
		{"no version", mustCBOR(map[int]any{2: []any{}}), core.CodeOK},
		{"unknown batch field", mustCBOR(map[int]any{1: 1, 2: []any{}, 3: 1}), core.CodeOK},
		{"unknown record field", mustCBOR(map[int]any{1: 1, 2: []any{map[int]any{1: "x", 99: 1}}}), core.CodeOK},
		{"newer version", mustCBOR(map[int]any{1: recd.Version + 1, 7: "?"}), core.CodeRecordBad},
		{"newer rule", entry(2, start, rule(fold.Supported.Rule+1)).Data, core.CodeRuleUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := fold.New()
			st.Apply(entry(1, start, set("/", "queue.depth", "7", 0)))
			hash := st.Hash()
			decisions := st.Apply(core.Entry{Offset: 2, ID: "e", At: start, Data: tc.data})
			assert.Equal(t, core.CodeOf(st.Err()), tc.stop)
			if tc.stop != core.CodeOK {
				assert.Equal(t, len(decisions), 0)
				assert.Equal(t, st.Hash(), hash)
				assert.Equal(t, st.Offset(), core.Offset(1))
				assert.Assert(t, st.Apply(entry(2, start)) == nil, "an entry was applied after the state machine stopped")
				return
			}
			assert.Equal(t, decisions[0].Code, core.CodeRecordBad)
			assert.Equal(t, st.Offset(), core.Offset(2))
		})
	}
}

func TestEntryOutOfOrder(t *testing.T) {
	st := fold.New()
	for _, off := range []core.Offset{2, 0, 7} {
		assert.Assert(t, st.Apply(entry(off, start, set("/", "queue.depth", "7", 0))) == nil)
		assert.Equal(t, st.Offset(), core.Offset(0))
	}
}

func TestViewIsImmutable(t *testing.T) {
	st := fold.New()
	st.Apply(entry(1, start, set("/", "queue.depth", "7", 0), assign("g1", 0, "v1")))
	old := st.View()
	st.Apply(entry(2, start, set("/", "queue.depth", "8", 1), retire("g1", 1)))
	st.Apply(entry(3, start, unload("g1", 1, "v1")))
	assert.Equal(t, old.Tree().Config("/").Int("queue.depth"), 7)
	asg, _ := old.Assignment("g1")
	assert.Equal(t, asg.Phase, core.PhaseAssigned)
	group, held := old.Holder("v1")
	assert.Assert(t, held && group == "g1")
	assert.Equal(t, len(old.Audit(0, 10)), 2)
	_, held = st.View().Holder("v1")
	assert.Assert(t, !held)
	asg, _ = st.View().Assignment("g1")
	assert.Equal(t, asg.Phase, core.PhaseRetired)
	assert.Equal(t, len(asg.VMs), 0)
}

// TestAudit checks that every accepted and every rejected change has an audit
// line.
func TestAudit(t *testing.T) {
	st := fold.New()
	st.Apply(entry(1, start, set("/", "queue.depth", "7", 0)))
	st.Apply(entry(2, start, set("/", "queue.depth", "8", 1), set("/", "queue.depth", "9", 1)))
	st.Apply(entry(3, start, assign("g1", 0, "v1", "v2"), claim("k", start, 1, "n1")))
	lines := st.Audit(1, 10)
	assert.Equal(t, len(lines), 3)
	assert.DeepEqual(t, lines[0], fold.AuditLine{
		Offset: 2, At: start, Record: "r2.0", By: "ana", Kind: fold.KindSetting,
		Subject: "/", Key: "queue.depth", Old: "7", New: "8",
	})
	assert.Equal(t, lines[1].Code, core.CodeSettingRaced)
	assert.Equal(t, lines[1].Detail, "/ was changed by ana at offset 2, this change was made from offset 1")
	assert.Equal(t, lines[2].New, "m1@1   on v1,v2")
}

// TestDecisionsAndAuditAreBounded checks that old decisions, audit lines and
// claims are removed, and that a state decoded half-way removes the same ones.
func TestDecisionsAndAuditAreBounded(t *testing.T) {
	one := fold.New()
	var two *fold.State
	const num = 5000
	for off := core.Offset(1); off <= num; off++ {
		ent := entry(off, start.Add(time.Duration(off)*time.Second), set("/", "queue.depth", "7", off-1), claim(core.IdempotencyKey(fmt.Sprint(off)), start.Add(time.Duration(off)*time.Second), 1, "n1"))
		one.Apply(ent)
		if two != nil {
			two.Apply(ent)
		}
		if off == num/2 {
			two = roundTrip(t, one)
		}
	}
	assert.Equal(t, one.Hash(), two.Hash())
	assert.Equal(t, len(one.Audit(0, 2*num)), 4096)
	assert.Equal(t, one.Claims(), 606)
	_, found := one.Decision("r1.0")
	assert.Assert(t, !found)
	decision, found := one.Decision("r5000.1")
	assert.Assert(t, found && decision.Accepted())
	roundTrip(t, one)
}

func TestDecodeDamaged(t *testing.T) {
	st := fold.New()
	st.Apply(entry(1, start, set("/", "queue.depth", "7", 0), assign("g1", 0, "v1")))
	st.Apply(entry(2, start, rule(1)))
	data := st.Encode()
	for idx := range data {
		bad := append([]byte(nil), data...)
		bad[idx] ^= 0x01
		got, err := fold.Decode(bad)
		if err == nil {
			// The hash covers everything but the texts of audit lines.
			assert.Equal(t, got.Hash(), st.Hash(), "byte %d", idx)
			continue
		}
		assert.Equal(t, core.CodeOf(err), core.CodeSnapshotBad)
	}
	_, err := fold.DecodeFor(fold.Versions{Record: 1}, data)
	assert.Equal(t, core.CodeOf(err), core.CodeSnapshotBad)
}
