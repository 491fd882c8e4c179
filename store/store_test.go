package store_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/store"
	"kumquathinge/store/logfk"
)

// rig runs stores against one log.
type rig struct {
	tst *testing.T
	ctx context.Context
	lgs *logfk.Log
}

// peerOf makes a store a core.Peer of others.
type peerOf struct {
	core.Peer
	str *store.Store
}

func (per peerOf) Relay(_ context.Context, from core.Offset, max int) (core.Page, error) {
	return per.str.Relay(from, max)
}

func (per peerOf) State(context.Context) ([]byte, error) { return per.str.State() }

func newRig(tst *testing.T) *rig {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	tst.Cleanup(cancel)
	return &rig{tst: tst, ctx: ctx, lgs: logfk.New(time.Now)}
}

// start runs a store that may ask the peers that it is given.
func (rig *rig) start(nam core.NodeName, prs ...*store.Store) (*store.Store, *logfk.Client) {
	cli := rig.lgs.Client()
	str := store.New(store.Config{
		Node: nam, Log: cli,
		Peers: func() []core.Peer {
			var out []core.Peer
			for _, per := range prs {
				out = append(out, peerOf{str: per})
			}
			return out
		},
	})
	ctx, cancel := context.WithCancel(rig.ctx)
	done := make(chan error, 1)
	go func() { done <- str.Run(ctx) }()
	rig.tst.Cleanup(func() {
		cancel()
		assert.NilError(rig.tst, <-done)
	})
	return str, cli
}

// until waits for the store's view to satisfy a condition.
func (rig *rig) until(str *store.Store, cond func() bool) {
	rig.tst.Helper()
	for {
		chn := str.Changed()
		if cond() {
			return
		}
		select {
		case <-chn:
		case <-rig.ctx.Done():
			rig.tst.Fatalf("condition not reached: %+v", str.Status())
		}
	}
}

func setting(pth, key, raw string, base core.Offset) recd.Record {
	return recd.Record{By: "ana", Setting: &recd.Setting{Path: pth, Key: key, Value: []byte(raw), Base: base}}
}

func TestProposalsReachEveryStore(tst *testing.T) {
	rig := newRig(tst)
	one, _ := rig.start("n1")
	two, cli := rig.start("n2", one)
	vers, err := one.Propose(rig.ctx, setting("/", "queue.depth", "7", 0))
	assert.NilError(tst, err)
	assert.NilError(tst, vers[0].Err())
	rig.until(two, func() bool { return two.View().Tree().Config("/").Int("queue.depth") == 7 })

	vers, err = two.Propose(rig.ctx, setting("/", "queue.depth", "8", 0))
	assert.NilError(tst, err)
	assert.Equal(tst, vers[0].Code, core.CodeSettingRaced)

	cli.SetDisconnected(true)
	_, err = two.Propose(rig.ctx, setting("/", "queue.depth", "9", 1))
	assert.Equal(tst, core.CodeOf(err), core.CodeLogRefused)
	_, err = one.Propose(rig.ctx, setting("/", "queue.depth", "9", 1))
	assert.NilError(tst, err)
	rig.until(two, func() bool { return two.View().Tree().Config("/").Int("queue.depth") == 9 })
}

func TestLostAnswersAndQueries(tst *testing.T) {
	rig := newRig(tst)
	one, cli := rig.start("n1")
	cli.InjectFaults(logfk.FaultResponseLost, logfk.FaultResponseLost)
	clm := recd.Record{ID: "c1", By: "n1", Claim: &recd.Claim{Org: "o", Key: "k", Issued: time.Now(), Holder: "n1"}}
	vers, err := one.Propose(rig.ctx, clm)
	assert.NilError(tst, err)
	assert.NilError(tst, vers[0].Err())
	got, has, err := one.Claim(rig.ctx, "o", "k")
	assert.NilError(tst, err)
	assert.Assert(tst, has && got.Holder == "n1" && got.Offset == vers[0].Offset)
	ver, has, err := one.Outcome(rig.ctx, "c1")
	assert.NilError(tst, err)
	assert.Assert(tst, has)
	assert.DeepEqual(tst, ver, vers[0])
	again, err := one.Propose(rig.ctx, clm)
	assert.NilError(tst, err)
	assert.DeepEqual(tst, again, vers)
}

// TestCallerGivesUp: the answer lost for longer than the caller waits is
// unknown, and names the record.
func TestCallerGivesUp(tst *testing.T) {
	rig := newRig(tst)
	one, cli := rig.start("n1")
	rig.until(one, func() bool { return one.Status().Ready })
	for range 100 {
		cli.InjectFaults(logfk.FaultRequestLost)
	}
	ctx, cancel := context.WithTimeout(rig.ctx, 100*time.Millisecond)
	defer cancel()
	rec := setting("/", "queue.depth", "7", 0)
	rec.ID = "mine"
	_, err := one.Propose(ctx, rec)
	assert.Equal(tst, core.CodeOf(err), core.CodeLogUnknown)
	assert.ErrorContains(tst, err, "ask by ID mine")
}

// TestStartsWithoutLog: a store whose log is gone, or has dropped what it
// needs, starts from a peer; a hash that differs is an alarm.
func TestStartsWithoutLog(tst *testing.T) {
	rig := newRig(tst)
	one, _ := rig.start("n1")
	for base := core.Offset(0); base < 3; base++ {
		_, err := one.Propose(rig.ctx, setting("/", "queue.depth", "7", base))
		assert.NilError(tst, err)
	}
	rig.lgs.Trim(3)
	two, _ := rig.start("n2", one)
	rig.until(two, func() bool { return two.Status().Ready && two.View().Offset() == 3 })
	alone, _ := rig.start("n3")
	rig.until(alone, func() bool { return alone.Status().Code == core.CodeLogGap })
	assert.Assert(tst, !alone.Status().Ready)
	_, err := alone.State()
	assert.Equal(tst, core.CodeOf(err), core.CodeNotReady)

	rig.lgs.SetDown(true)
	late, _ := rig.start("n4", one, two)
	rig.until(late, func() bool { return late.Status().Ready && late.View().Offset() == 3 })

	sts := one.Status()
	late.Check("n1", sts.HashAt, sts.Hash)
	assert.Assert(tst, late.Status().Code != core.CodeHashAlarm)
	late.Check("n1", sts.HashAt, sts.Hash+1)
	// The answer to a later question shows that the check was taken in.
	_, _, err = late.Outcome(rig.ctx, "x")
	assert.NilError(tst, err)
	assert.Equal(tst, late.Status().Code, core.CodeHashAlarm)
}

func TestStoppedStore(tst *testing.T) {
	lgs := logfk.New(time.Now)
	str := store.New(store.Config{Node: "n1", Log: lgs.Client(), Peers: func() []core.Peer { return nil }})
	ctx, cancel := context.WithCancel(tst.Context())
	cancel()
	assert.NilError(tst, str.Run(ctx))
	_, err := str.Propose(tst.Context(), setting("/", "queue.depth", "7", 0))
	assert.Assert(tst, core.CodeOf(err) == core.CodeLogRefused || core.CodeOf(err) == core.CodeLogUnknown)
	_, err = str.Relay(1, 1)
	assert.Equal(tst, core.CodeOf(err), core.CodeNotReady)
}
