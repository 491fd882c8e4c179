package tail_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
	"kumquathinge/core/tail"
)

// TestPageWithHole: a page that leaves out an entry is used up to the hole.
func TestPageWithHole(tst *testing.T) {
	wld := newWorld(1)
	wld.settle()
	one := wld.units[0]
	wld.fill(one, 4)
	ents := wld.lgs.EntriesFrom(1)
	fol := tail.NewFollower(tail.Config{Node: "x", Timings: testTimings})
	fol.Step(tail.LogRead{Page: core.Page{First: 1, Next: 5, Entries: []core.Entry{ents[0], ents[2], ents[3]}}}, wld.now)
	assert.Equal(tst, fol.State().Offset(), core.Offset(1))
	assert.Assert(tst, !fol.Status().Ready)
	fol.Step(tail.LogRead{Page: core.Page{First: 1, Next: 5, Entries: ents[1:]}}, wld.now)
	assert.Equal(tst, fol.State().Offset(), core.Offset(4))
	assert.Assert(tst, fol.Status().Ready)
	// A log that has lost entries does not take the state back.
	fol.Step(tail.LogRead{Page: core.Page{First: 1, Next: 2, Entries: ents[:1]}}, wld.now)
	assert.Equal(tst, fol.State().Offset(), core.Offset(4))
	assert.Equal(tst, fol.Status().Code, core.CodeLogGap)
}

// TestHashAlarm: any difference is an alarm; a node that most of its peers
// contradict is not ready.
func TestHashAlarm(tst *testing.T) {
	wld := newWorld(1)
	wld.settle()
	one := wld.units[0]
	wld.fill(one, 2)
	hash := one.fol.State().Hash()
	for _, cas := range []struct {
		node  core.NodeName
		at    core.Offset
		hash  uint64
		code  core.Code
		ready bool
	}{
		{"a", 2, hash, core.CodeOK, true},
		{"b", 9, hash + 1, core.CodeOK, true},
		{"b", 2, hash + 1, core.CodeHashAlarm, true},
		{"c", 2, hash + 1, core.CodeHashAlarm, true},
		{"d", 2, hash + 1, core.CodeHashAlarm, false},
		{"d", 2, hash, core.CodeHashAlarm, true},
		{"b", 2, hash, core.CodeHashAlarm, true},
		{"c", 2, hash, core.CodeOK, true},
	} {
		one.fol.Step(tail.Tick{Nodes: []core.NodeName{"n0", "a", "b", "c", "d"}}, wld.now)
		one.fol.Step(tail.PeerHash{Node: cas.node, At: cas.at, Hash: cas.hash}, wld.now)
		sts := one.fol.Status()
		assert.Equal(tst, sts.Code, cas.code, "%+v", cas)
		assert.Equal(tst, sts.Ready, cas.ready, "%+v", cas)
	}
}

// TestSnapshotWriters counts who writes snapshots: one node at a time, and
// another one steps in if it dies.
func TestSnapshotWriters(tst *testing.T) {
	wld := newWorld(3)
	wld.settle()
	hashes := make([]string, 200)
	rnd := rand.New(rand.NewPCG(1, 2))
	for idx := range hashes {
		hashes[idx] = fmt.Sprintf("%016x%016x%016x%016x", rnd.Uint64(), rnd.Uint64(), rnd.Uint64(), rnd.Uint64())
	}
	raw, err := json.Marshal(hashes)
	assert.NilError(tst, err)
	wld.propose(wld.units[0], recd.Record{By: "ana", Setting: &recd.Setting{Path: "/", Key: "org.key_hashes", Value: raw}})
	wld.fill(wld.units[0], 12)
	writers := func() map[string]int {
		out := map[string]int{}
		for _, ent := range wld.lgs.EntriesFrom(1) {
			bat, err := recd.Decode(ent.Data)
			assert.NilError(tst, err)
			for _, rec := range bat.Records {
				if rec.Snapshot != nil {
					out[rec.By]++
				}
			}
		}
		return out
	}
	for range 200 {
		if len(writers()) > 0 {
			break
		}
		wld.fill(wld.units[0], 1)
	}
	first := writers()
	assert.Equal(tst, len(first), 1, "%v", first)
	assert.Assert(tst, wld.ref.SnapshotOffset() > 0)

	// The next one is due once as many bytes of other entries have come.
	at := wld.ref.SnapshotOffset()
	size, other := 0, 0
	for range 500 {
		if wld.ref.SnapshotOffset() > at {
			break
		}
		wld.fill(wld.units[0], 1)
	}
	for _, ent := range wld.lgs.EntriesFrom(at + 1) {
		bat, err := recd.Decode(ent.Data)
		assert.NilError(tst, err)
		switch snp := bat.Records[0].Snapshot; {
		case snp == nil:
			other += len(ent.Data)
		case snp.Offset == at:
			size += len(ent.Data)
		}
	}
	assert.Assert(tst, wld.ref.SnapshotOffset() >= at+testTimings.SnapshotEvery)
	assert.Assert(tst, other >= size, "%d bytes after a snapshot of %d", other, size)
	at = wld.ref.SnapshotOffset()

	// The log is about to drop the snapshot. The others died and are still
	// listed as live: the last one steps in.
	wld.units[1].dead = true
	wld.units[2].dead = true
	wld.lgs.Trim(at)
	wld.settle()
	assert.Assert(tst, wld.ref.SnapshotOffset() > at)
}

// TestBatching: proposals that come while an append is under way share the
// next one.
func TestBatching(tst *testing.T) {
	wld := newWorld(1)
	wld.settle()
	one := wld.units[0]
	var tics []uint64
	for range 10 {
		tics = append(tics, wld.propose(one, recd.Record{By: "n0", Claim: &recd.Claim{
			Org: "o", Key: core.IdempotencyKey(time.Duration(len(tics)).String()), Issued: wld.now, Holder: "n0",
		}}))
	}
	wld.settle()
	assert.Equal(tst, one.cli.AppendCalls(), 2)
	for _, tic := range tics {
		assert.NilError(tst, wld.verdict(tst, one, tic).Err())
	}
}

// TestBadProposals: what would spoil a batch for others never gets into one.
func TestBadProposals(tst *testing.T) {
	wld := newWorld(1)
	wld.settle()
	one := wld.units[0]
	big := depth(1, 0)
	big.Setting.Note = string(make([]byte, 300<<10))
	for _, cas := range []struct {
		name string
		recs []recd.Record
		want core.Code
	}{
		{"no records", nil, core.CodeRecordBad},
		{"one ID twice", []recd.Record{{ID: "x"}, {ID: "x"}}, core.CodeRecordBad},
		{"text that is not UTF-8", []recd.Record{{By: "\xff", Rule: &recd.Rule{Number: 1}}}, core.CodeRecordBad},
		{"year that can't be written", []recd.Record{{Claim: &recd.Claim{Issued: time.Date(12026, 1, 1, 0, 0, 0, 0, time.UTC)}}}, core.CodeRecordBad},
		{"too large", []recd.Record{big}, core.CodeTooLarge},
	} {
		tic := wld.propose(one, cas.recs...)
		assert.Equal(tst, core.CodeOf(one.answers[tic].Err), cas.want, cas.name)
	}
	wld.settle()
	assert.Equal(tst, wld.lgs.NextOffset(), core.Offset(1))
}

// TestStoppedFoldAppendsNothing: a program that can't fold the log does not
// write to it.
func TestStoppedFoldAppendsNothing(tst *testing.T) {
	wld := newWorld(1)
	wld.units[0].prg = fold.Versions{Record: recd.Version}
	wld.start(wld.units[0])
	wld.settle()
	one := wld.units[0]
	wld.propose(one, recd.Record{By: "ana", Rule: &recd.Rule{Number: 1}})
	wld.settle()
	next := wld.lgs.NextOffset()
	tic := wld.propose(one, depth(7, 0))
	assert.Equal(tst, core.CodeOf(one.answers[tic].Err), core.CodeLogRefused)
	wld.settle()
	assert.Equal(tst, wld.lgs.NextOffset(), next)
}

// TestAppendBudget: however many entry VMs are live, all of them together stay
// within the budget.
func TestAppendBudget(tst *testing.T) {
	for _, num := range []int{1, 4, 340} {
		tim := testTimings
		tim.AppendBudget = 300
		fol := tail.NewFollower(tail.Config{Node: "n", Timings: tim})
		nodes := make([]core.NodeName, num)
		now := time.Unix(1_800_000_000, 0)
		appends := 0
		for tic := range 10_000 {
			now = now.Add(time.Millisecond)
			rec := recd.Record{ID: core.RecordID(time.Duration(tic).String()), Rule: &recd.Rule{Number: 1}}
			acts := fol.Step(tail.Tick{Nodes: nodes}, now)
			acts = append(acts, fol.Step(tail.Proposed{Ticket: uint64(tic), Records: []recd.Record{rec}}, now)...)
			for _, act := range acts {
				if app, ok := act.(tail.Append); ok {
					appends++
					fol.Step(tail.Appended{Batch: app.Batch, Offset: 1}, now)
				}
			}
		}
		assert.Assert(tst, appends*num <= 300*10+num, "%d nodes: %d appends each in 10 s", num, appends)
		assert.Assert(tst, appends > 0)
	}
}

// TestPagesShrink: a log that can't bring a page over is asked for less, and
// never again before the retry time.
func TestPagesShrink(tst *testing.T) {
	fol := tail.NewFollower(tail.Config{Node: "n", Timings: testTimings})
	now := time.Unix(1_800_000_000, 0)
	read := func(evt tail.Event) (out []int) {
		for _, act := range fol.Step(evt, now) {
			if rea, ok := act.(tail.ReadLog); ok {
				out = append(out, rea.Max)
			}
		}
		return out
	}
	assert.DeepEqual(tst, read(tail.Tick{}), []int{16})
	for _, want := range []int{8, 4, 2, 1, 1} {
		assert.Equal(tst, len(read(tail.LogRead{Err: core.Errorf(core.CodeLogDown, "too large")})), 0)
		now = now.Add(testTimings.RetryMax)
		assert.DeepEqual(tst, read(tail.Tick{}), []int{want})
	}
	read(tail.LogRead{Page: core.Page{First: 1, Next: 1}})
	now = now.Add(testTimings.RetryMax)
	assert.DeepEqual(tst, read(tail.Tick{}), []int{16})
}

// TestReleasedClaim: the old verdict on a claim that was released is no right
// to dispatch.
func TestReleasedClaim(tst *testing.T) {
	wld := newWorld(2)
	wld.settle()
	one, two := wld.units[0], wld.units[1]
	claim := func(id core.RecordID, hld core.NodeName) recd.Record {
		return recd.Record{ID: id, By: string(hld), Claim: &recd.Claim{Org: "o", Key: "k", Issued: wld.now, Holder: hld}}
	}
	tic := wld.propose(one, claim("c1", "n0"))
	wld.settle()
	ver := wld.verdict(tst, one, tic)
	assert.NilError(tst, ver.Err())
	assert.NilError(tst, wld.verdict(tst, one, wld.propose(one, claim("c1", "n0"))).Err())
	wld.propose(one, recd.Record{By: "n0", Release: &recd.Release{Org: "o", Key: "k", Claim: ver.Offset}})
	wld.settle()
	assert.Equal(tst, wld.verdict(tst, one, wld.propose(one, claim("c1", "n0"))).Code, core.CodeClaimNotHolder)
	tic = wld.propose(two, claim("c2", "n1"))
	wld.settle()
	assert.NilError(tst, wld.verdict(tst, two, tic).Err())
	assert.Equal(tst, wld.verdict(tst, one, wld.propose(one, claim("c1", "n0"))).Code, core.CodeClaimNotHolder)
}
