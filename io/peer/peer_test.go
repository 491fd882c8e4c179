package peer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/peer"
)

// instant has a part below a second, which the fold of an entry depends on.
var instant = time.Unix(1796371200, 123456789).UTC()

// backend is a peer whose forwarded jobs do what run does.
type backend struct {
	run func(ctx context.Context, snk core.Sink) error
}

func (bck *backend) Exchange(bea core.Heartbeat) core.Heartbeat {
	return core.Heartbeat{Node: "other", Seq: bea.Seq + 1, Usage: bea.Usage}
}

func (bck *backend) Relay(_ context.Context, from core.Offset, max int) (core.Page, error) {
	if from == 0 {
		return core.Page{}, core.Errorf(core.CodeLogGap, "oldest is 5")
	}
	return core.Page{First: 1, Next: from + 1, Entries: []core.Entry{{Offset: from, ID: "e", At: instant, Data: []byte{byte(max)}}}}, nil
}

func (bck *backend) State(context.Context) ([]byte, error) { return []byte("state"), nil }

func (bck *backend) Run(ctx context.Context, _ core.Job, snk core.Sink) error {
	return bck.run(ctx, snk)
}

// connect starts a peer and returns its client.
func connect(t *testing.T, bck *backend) *peer.Client {
	srv := httptest.NewServer(peer.Handler(bck, 10*time.Millisecond))
	t.Cleanup(srv.CloseClientConnections)
	return peer.New(srv.URL, peer.Config{Dial: time.Second, Call: time.Minute, Silence: time.Minute})
}

// sink keeps parts; it fails from part fail on, if fail is positive.
type sink struct {
	got  []core.Part
	fail int
}

func (snk *sink) WritePart(prt core.Part) error {
	snk.got = append(snk.got, prt)
	if snk.fail > 0 && len(snk.got) >= snk.fail {
		return context.Canceled
	}
	return nil
}

func TestUnary(t *testing.T) {
	cli := connect(t, &backend{})
	ctx := context.Background()
	bea, err := cli.Exchange(ctx, core.Heartbeat{Seq: 4, Usage: map[core.OrgName]core.Usage{"andes": {Running: 2}}})
	assert.NilError(t, err)
	assert.DeepEqual(t, bea, core.Heartbeat{Node: "other", Seq: 5, Usage: map[core.OrgName]core.Usage{"andes": {Running: 2}}})
	pag, err := cli.Relay(ctx, 7, 9)
	assert.NilError(t, err)
	assert.Equal(t, pag.Entries[0].Offset, core.Offset(7))
	assert.Equal(t, pag.Entries[0].Data[0], byte(9))
	assert.Equal(t, pag.Entries[0].At, instant)
	_, err = cli.Relay(ctx, 0, 9)
	assert.Equal(t, core.CodeOf(err), core.CodeLogGap)
	data, err := cli.State(ctx)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "state")
}

func TestForward(t *testing.T) {
	parts := []core.Part{{Pos: 0, Text: "a"}, {Pos: 1, Text: "b"}, {Pos: 2, End: true, Tokens: 2}}
	send := func(_ context.Context, snk core.Sink) error {
		for _, prt := range parts {
			if err := snk.WritePart(prt); err != nil {
				return err
			}
		}
		return nil
	}
	tests := []struct {
		name string
		run  func(context.Context, core.Sink) error
		fail int
		want []core.Part
		code core.Code
	}{
		{"whole", send, 0, parts, core.CodeOK},
		{"refused", func(context.Context, core.Sink) error { return core.Errorf(core.CodeNoGroup, "none") }, 0, nil, core.CodeNoGroup},
		{"cut", func(_ context.Context, snk core.Sink) error { _ = snk.WritePart(parts[0]); panic(http.ErrAbortHandler) }, 0, parts[:1], core.CodeUnknownOutcome},
		{"no end", func(_ context.Context, snk core.Sink) error { return snk.WritePart(parts[0]) }, 0, parts[:1], core.CodeUnknownOutcome},
		{"caller gone", send, 1, parts[:1], core.CodeCallerGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			snk := &sink{fail: tt.fail}
			err := connect(t, &backend{run: tt.run}).Forward(context.Background(), core.Job{ID: "j"}, snk)
			assert.Equal(t, core.CodeOf(err), tt.code, "%v", err)
			assert.DeepEqual(t, snk.got, tt.want)
		})
	}
}

func TestForwardUnreachable(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, lis.Close())
	cli := peer.New("http://"+lis.Addr().String(), peer.Config{Dial: time.Second, Call: time.Second, Silence: time.Minute})
	err = cli.Forward(context.Background(), core.Job{}, &sink{})
	assert.Equal(t, core.CodeOf(err), core.CodePeerUnreachable)
}

// TestForwardSilent takes the connection and says nothing: the job may have
// reached the peer.
func TestForwardSilent(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer lis.Close()
	cli := peer.New("http://"+lis.Addr().String(), peer.Config{Dial: time.Second, Call: time.Second, Silence: 50 * time.Millisecond})
	err = cli.Forward(context.Background(), core.Job{}, &sink{})
	assert.Equal(t, core.CodeOf(err), core.CodeUnknownOutcome)
}
