package tail_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/core/tail"
	"kumquathinge/store/logfk"
)

// interleave runs followers against a log with random losses, cuts, restarts
// and proposals, and checks the invariants after every step.
func interleave(rap *rapid.T) {
	wld := newWorld(3)
	steps := map[string]func(*rapid.T){
		"act":     func(rap *rapid.T) { randomAct(rap, wld) },
		"act2":    func(rap *rapid.T) { randomAct(rap, wld) },
		"act3":    func(rap *rapid.T) { randomAct(rap, wld) },
		"tick":    func(rap *rapid.T) { wld.tick(time.Duration(rapid.IntRange(1, 60).Draw(rap, "ms")) * time.Millisecond) },
		"run":     func(rap *rapid.T) { randomRun(rap, wld) },
		"propose": func(rap *rapid.T) { randomPropose(rap, wld) },
		"fault":   func(rap *rapid.T) { randomFault(rap, wld) },
		"beat":    func(rap *rapid.T) { randomBeat(rap, wld) },
		"late":    func(*rapid.T) { wld.landLate() },
		"":        func(rap *rapid.T) { failOn(rap, wld.check()) },
	}
	rap.Repeat(steps)
	heal(rap, wld)
}

func failOn(rap *rapid.T, err error) {
	if err != nil {
		rap.Fatal(err)
	}
}

// randomBeat tells one unit the hash of another. States that differ would
// raise the alarm.
func randomBeat(rap *rapid.T, wld *world) {
	uni, per := anyUnit(rap, wld), anyUnit(rap, wld)
	if uni.cutPeers || per.cutPeers {
		return
	}
	sts := per.fol.Status()
	wld.feed(uni, tail.PeerHash{Node: per.name, At: sts.HashAt, Hash: sts.Hash})
	if cod := uni.fol.Status().Code; cod == core.CodeHashAlarm {
		rap.Fatal("hash alarm")
	}
}

// landLate lets the appends of processes that are gone take effect.
func (wld *world) landLate() {
	for _, fun := range wld.late {
		fun()
	}
	wld.late = nil
}

func anyUnit(rap *rapid.T, wld *world) *unit { return rapid.SampledFrom(wld.units).Draw(rap, "unit") }

func randomAct(rap *rapid.T, wld *world) {
	uni := anyUnit(rap, wld)
	if len(uni.todo) == 0 {
		return
	}
	idx := rapid.IntRange(0, len(uni.todo)-1).Draw(rap, "action")
	wld.act(uni, idx, rapid.IntRange(0, 9).Draw(rap, "lost") == 0)
}

// randomRun lets one unit run undisturbed for a while.
func randomRun(rap *rapid.T, wld *world) {
	uni := anyUnit(rap, wld)
	for range rapid.IntRange(1, 20).Draw(rap, "rounds") {
		wld.tick(10 * time.Millisecond)
		for len(uni.todo) > 0 {
			wld.act(uni, 0, false)
		}
	}
}

func randomPropose(rap *rapid.T, wld *world) {
	uni := anyUnit(rap, wld)
	num := rapid.IntRange(1, 2).Draw(rap, "records")
	var recs []recd.Record
	for range num {
		recs = append(recs, randomRecord(rap, wld, uni))
	}
	if num == 1 && rapid.IntRange(0, 5).Draw(rap, "again") == 0 && wld.ticket > 0 {
		recs[0].ID = core.RecordID(fmt.Sprintf("r%d.0", rapid.Uint64Range(1, wld.ticket).Draw(rap, "old")))
	}
	tic := wld.propose(uni, recs...)
	if rapid.IntRange(0, 9).Draw(rap, "give up") == 0 {
		wld.feed(uni, tail.GivenUp{Ticket: tic})
	}
}

func randomRecord(rap *rapid.T, wld *world, uni *unit) recd.Record {
	sta := uni.fol.State()
	grp := core.GroupName(rapid.SampledFrom([]string{"g1", "g2"}).Draw(rap, "group"))
	asg, _ := sta.Assignment(grp)
	key := core.IdempotencyKey(rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(rap, "key"))
	rec := recd.Record{By: string(uni.name)}
	switch rapid.SampledFrom([]string{"set", "set", "assign", "assign", "retire", "unload", "claim", "claim", "release", "result"}).Draw(rap, "kind") {
	case "set":
		pth := rapid.SampledFrom([]string{"/", "/orgs/o1"}).Draw(rap, "path")
		rec.Setting = &recd.Setting{Path: pth, Key: "org.concurrency", Value: fmt.Appendf(nil, "%d", rapid.IntRange(0, 99).Draw(rap, "value")),
			Base: sta.Tree().Version(pathOf(pth))}
	case "assign":
		vms := rapid.SliceOfNDistinct(rapid.SampledFrom([]core.VMName{"v1", "v2", "v3", "v4"}), 1, 3, rapid.ID).Draw(rap, "vms")
		rec.Assign = &recd.Assign{Group: grp, Zone: "z", Domain: "d", VMs: vms, Spec: core.Spec{Model: "m"}, Base: asg.FencingToken}
	case "retire":
		rec.Retire = &recd.Retire{Group: grp, Base: asg.FencingToken}
	case "unload":
		rec.Unload = &recd.Unload{Group: grp, Base: asg.FencingToken, VMs: asg.VMs}
	case "claim":
		rec.Claim = &recd.Claim{Org: "o", Key: key, Issued: wld.now, Holder: uni.name}
	case "release":
		clm, _ := sta.Claim("o", key)
		rec.Release = &recd.Release{Org: "o", Key: key, Claim: clm.Offset}
	case "result":
		clm, _ := sta.Claim("o", key)
		rec.Result = &recd.Result{Org: "o", Key: key, Claim: clm.Offset}
	}
	return rec
}

func randomFault(rap *rapid.T, wld *world) {
	uni := anyUnit(rap, wld)
	on := rapid.Bool().Draw(rap, "on")
	switch rapid.SampledFrom([]string{"append", "append", "cut log", "cut peers", "down", "restart", "trim"}).Draw(rap, "fault") {
	case "append":
		uni.cli.InjectFaults(rapid.SampledFrom([]logfk.Fault{logfk.FaultRefused, logfk.FaultRequestLost, logfk.FaultResponseLost, logfk.FaultDuplicated}).Draw(rap, "append fault"))
	case "cut log":
		uni.cli.SetDisconnected(on)
	case "cut peers":
		uni.cutPeers = on
	case "down":
		wld.lgs.SetDown(on)
	case "restart":
		uni.high = 0 // A new process knows nothing of the offset that the old one served.
		wld.start(uni)
	case "trim":
		if keep := core.Offset(rapid.IntRange(1, 20).Draw(rap, "keep")); keep < wld.lgs.NextOffset() {
			wld.lgs.Trim(wld.lgs.NextOffset() - keep)
		}
	}
}

// heal ends all faults. If anyone can still reach the log's end, then everyone
// does, with one hash and every proposal answered.
func heal(rap *rapid.T, wld *world) {
	wld.lgs.SetDown(false)
	wld.landLate()
	for _, uni := range wld.units {
		uni.cli.SetDisconnected(false)
		uni.cutPeers = false
	}
	wld.settle()
	failOn(rap, wld.check())
	first := core.Offset(1)
	if ents := wld.lgs.EntriesFrom(1); len(ents) > 0 {
		first = ents[0].Offset
	}
	able := false
	for _, uni := range wld.units {
		able = able || uni.fol.State().Offset()+1 >= first
	}
	for _, uni := range wld.units {
		if sts := uni.fol.Status(); able && (!sts.Ready || sts.Offset+1 != wld.lgs.NextOffset()) {
			rap.Fatalf("%s has not caught up: %+v, log ends at %d", uni.name, sts, wld.lgs.NextOffset())
		}
		for tic := range uni.asked {
			if _, ok := uni.answers[tic]; able && !ok {
				rap.Fatalf("%s: proposal %d has no answer", uni.name, tic)
			}
		}
	}
}
