package node_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/peer"
	"kumquathinge/node"
)

// runSingleNode runs an entry VM whose log and VM list are at addr. It returns
// the node's addresses, a hook with its log entries, and a function that stops
// the node and waits for its end.
func runSingleNode(t *testing.T, addr string, opts ...node.Option) (node.Listen, *test.Hook, func()) {
	t.Helper()
	const anyAddr = "127.0.0.1:0"
	log, hook := test.NewNullLogger()
	daemon, err := node.Build(node.Config{
		Node: "e1", Zone: "z1", Log: addr, VMs: addr,
		Listen: node.Listen{Callers: anyAddr, Operators: anyAddr, Peers: anyAddr, Metrics: anyAddr},
	}, log, opts...)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- daemon.Run(ctx) }()
	return daemon.Addrs(), hook, func() {
		cancel()
		assert.NilError(t, <-done)
	}
}

// TestLogNeverReachable calls every interface of an entry VM that has never
// read the log, and then stops it. No call may block or panic, and requests
// must be reported as not run.
func TestLogNeverReachable(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	blocking := blockingLister{unblock: make(chan struct{})}
	t.Cleanup(func() { close(blocking.unblock) })
	tests := []struct {
		name string
		addr string
		opts []node.Option
	}{
		{"refused", "127.0.0.1:1", nil},
		{"silent", silent.Addr().String(), nil},
		{"list blocked", "127.0.0.1:1", []node.Option{node.WithLister(blocking)}},
	}
	requests := []struct {
		addrOf func(lis node.Listen) string
		method string
		path   string
		body   string
		status int
		text   string
	}{
		{operators, "GET", "/v1/status", "", 200, `"groups":[],"vms":[],"nodes":[{`},
		{operators, "GET", "/v1/status", "", 200, `"quarantine":[]`},
		{operators, "GET", "/v1/groups", "", 200, `{"groups":[]}`},
		{operators, "GET", "/v1/vms", "", 200, `{"vms":[]}`},
		{operators, "GET", "/v1/nodes", "", 200, `"e1"`},
		{operators, "GET", "/v1/settings?path=/", "", 503, `"code":118`},
		{operators, "GET", "/v1/audit", "", 503, `"code":118`},
		{operators, "PUT", "/v1/settings", `{"path":"/","key":"vm.fencing","value":true,"base":0}`, 503, `"code":`},
		{callers, "GET", "/live", "", 200, ""},
		{callers, "GET", "/ready", "", 503, "118"},
		{callers, "POST", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":1}`, 503, `"code":118,"not_run":true`},
		{callers, "POST", "/services/fees/charge", "fee", 503, `"code":118,"not_run":true`},
		{callers, "GET", "/v1/models", "", 503, `"code":118,"not_run":true`},
		{func(lis node.Listen) string { return lis.Metrics }, "GET", "/debug/vars", "", 200, `"groups_serving": 0`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			lis, hook, stop := runSingleNode(t, tt.addr, tt.opts...)
			for _, request := range requests {
				req, err := http.NewRequest(request.method, "http://"+request.addrOf(lis)+request.path, strings.NewReader(request.body))
				assert.NilError(t, err)
				req.Header.Set("Content-Type", "application/json")
				req.Header.Set("Authorization", "Bearer key")
				res, err := http.DefaultClient.Do(req)
				assert.NilError(t, err, request.path)
				out, err := io.ReadAll(res.Body)
				_ = res.Body.Close()
				assert.NilError(t, err)
				assert.Assert(t, res.StatusCode == request.status, "%d to %s %s: %s", res.StatusCode, request.method, request.path, out)
				assert.Assert(t, strings.Contains(string(out), request.text), "%s %s: %s", request.method, request.path, out)
			}
			checkPeerWithoutState(t, lis.Peers)
			stop()
			for _, entry := range hook.AllEntries() {
				text, err := entry.String()
				assert.NilError(t, err)
				assert.Assert(t, !strings.Contains(text, "panic"), text)
			}
		})
	}
}

func operators(lis node.Listen) string { return lis.Operators }

func callers(lis node.Listen) string { return lis.Callers }

// blockingLister blocks every call until the channel is closed.
type blockingLister struct{ unblock chan struct{} }

func (lister blockingLister) VMs(context.Context) ([]core.VM, error) {
	<-lister.unblock
	return nil, core.Errorf(core.CodeLogDown, "blocked")
}

// checkPeerWithoutState calls every procedure of a peer that has no state.
func checkPeerWithoutState(t *testing.T, addr string) {
	t.Helper()
	ctx := context.Background()
	client := peer.New("http://"+addr, peer.Config{DialTimeout: time.Minute, CallTimeout: time.Minute, StreamIdleTimeout: time.Minute})
	defer client.Close()
	hb, err := client.Exchange(ctx, core.Heartbeat{Node: "e2", Zone: "z1", Incarnation: "r", Seq: 1})
	assert.NilError(t, err)
	assert.Equal(t, hb.Applied, core.Offset(0))
	_, err = client.State(ctx)
	assert.Assert(t, err != nil)
	page, err := client.Relay(ctx, 1, 10)
	assert.Assert(t, err != nil || len(page.Entries) == 0)
	job := core.Job{ID: "j", Org: "andes", Model: "m", Prompt: "p", Deadline: time.Now().Add(time.Minute)}
	err = client.Forward(ctx, job, rejectingSink{})
	assert.Assert(t, core.CodeOf(err).NotRun(), "%v", err)
}

// rejectingSink returns an error for every part.
type rejectingSink struct{}

func (rejectingSink) WritePart(core.Part) error {
	return core.Errorf(core.CodeCallerGone, "unexpected part")
}

// TestDivergenceLoggedOnce lets peers with different states send heartbeats
// repeatedly. The alarm must be logged once, not with every heartbeat.
func TestDivergenceLoggedOnce(t *testing.T) {
	t.Parallel()
	lis, hook, stop := runSingleNode(t, "127.0.0.1:1")
	client := peer.New("http://"+lis.Peers, peer.Config{DialTimeout: time.Minute, CallTimeout: time.Minute})
	defer client.Close()
	for seq := range uint64(5) {
		for _, name := range []core.NodeName{"e2", "e3", "e4"} {
			hash := uint64(7)
			if name == "e4" {
				hash = 8
			}
			hb := core.Heartbeat{Node: name, Zone: "z1", Incarnation: "r", Seq: seq + 1, HashOffset: 64, Hash: hash}
			_, err := client.Exchange(context.Background(), hb)
			assert.NilError(t, err)
		}
	}
	stop()
	var got []logrus.Fields
	for _, entry := range hook.AllEntries() {
		if entry.Data["event"] == "alarm" {
			got = append(got, entry.Data)
		}
	}
	assert.Equal(t, len(got), 1, "%v", got)
	assert.DeepEqual(t, got[0]["nodes"], []core.NodeName{"e4"})
}
