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

	cli.Cut(true)
	_, err = two.Propose(rig.ctx, setting("/", "queue.depth", "9", 1))
	assert.Equal(tst, core.CodeOf(err), core.CodeLogRefused)
	_, err = one.Propose(rig.ctx, setting("/", "queue.depth", "9", 1))
	assert.NilError(tst, err)
	rig.until(two, func() bool { return two.View().Tree().Config("/").Int("queue.depth") == 9 })
}
