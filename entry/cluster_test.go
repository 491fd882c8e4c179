package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"kumquathinge/core/site"
	"kumquathinge/entry"
	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
	"kumquathinge/soak"
)

// Names and limits of a testCluster.
const (
	host       = "h.example"
	key        = "key-1"
	org        = "org-1"
	model      = "m"
	eventCount = 12
	// stopGrace is the time within which a stopping node must end.
	stopGrace = 4 * time.Second
	// drainDelay is how long a stopping node accepts requests.
	drainDelay = 200 * time.Millisecond
)

// logOutput is the log output of the nodes.
var logOutput io.Writer = io.Discard

// testCluster is a deployment of a store, model servers in groups of two, plain
// servers and entry VMs.
type testCluster struct {
	t            testing.TB
	store        *platfk.Store
	engines      []*platfk.Server
	plainServers []*platfk.Server
	nodes        []*testNode
	version      int64
	// resumable is set if the stream route is resumable.
	resumable bool
	subnet    string
	// noRetries leaves the nodes without a retry budget.
	noRetries bool
	// keepAlive makes plain servers keep connections open.
	keepAlive bool
	// memoryBytes is the memory of the nodes' VMs, zero for no limit.
	memoryBytes int64
	// maxFds is the limit of descriptors that the nodes' settings state, zero for none.
	maxFds int
	// idleTimeout and headerTimeout are those of the configuration.
	idleTimeout, headerTimeout time.Duration
	// listen opens the listeners for callers, nil for TCP.
	listen func(ctx context.Context, addr string) (net.Listener, error)
	// stepTime is the time per token that the configuration states for model servers.
	stepTime time.Duration
	// metricsPort is the port of the nodes' metrics, zero to disable.
	metricsPort int
	// cuttable makes the nodes reach servers through proxies, so that they can be cut off.
	cuttable bool
	// cold is the cold time of the plain servers after a restart.
	cold platfk.ColdConfig
}

// testNode is an entry VM of a testCluster.
type testNode struct {
	settings site.Settings
	gate     *platfk.Endpoint
	links    *serverLinks
	stop     context.CancelFunc
	done     chan error
}

// newTestCluster starts a deployment with the given numbers of entry VMs and
// groups. It is stopped at the end of the test.
func newTestCluster(t testing.TB, nodes, groups int) *testCluster {
	t.Helper()
	return newTestClusterWith(t, nodes, groups, func(*testCluster) {})
}

// newTestClusterWith starts a deployment as newTestCluster does. configure sets fields
// that must be set before the nodes start.
func newTestClusterWith(t testing.TB, nodes, groups int, configure func(*testCluster)) *testCluster {
	t.Helper()
	rig := &testCluster{t: t, store: platfk.NewStore(), resumable: true, subnet: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))}
	t.Cleanup(rig.close)
	configure(rig)
	for num := range 2 * groups {
		rig.engines = append(rig.engines, platfk.NewServer(rig.store, platfk.ServerConfig{
			ID: fmt.Sprintf("e%d", num), Service: "engines", Zone: "z1", Domain: fmt.Sprintf("d%d", num/2), Events: eventCount,
		}))
	}
	for num := range 2 {
		rig.plainServers = append(rig.plainServers, platfk.NewServer(rig.store, platfk.ServerConfig{ID: fmt.Sprintf("p%d", num), Service: "plain", Zone: "z1", KeepAlive: rig.keepAlive, Cold: rig.cold}))
	}
	for range nodes {
		rig.startNode()
	}
	return rig
}

// waitReady waits until all groups serve requests of every node.
func (rig *testCluster) waitReady() {
	rig.t.Helper()
	rig.configure(1)
	rig.waitFor("open groups", func() bool { return len(rig.heads()) == len(rig.engines)/2 })
	for _, node := range rig.nodes {
		rig.waitFor("served request", func() bool { return rig.get(node, "/read/x", nil).status == http.StatusOK })
		for _, head := range rig.heads() {
			rig.waitFor("served stream", func() bool {
				resp := rig.post(node, "/stream/warm", nil)
				return resp.header.Get(platform.HeaderResponseStamp) == "stamp-"+head.ID()
			})
		}
	}
}

func (rig *testCluster) close() {
	for _, node := range rig.nodes {
		node.stop()
	}
	for _, node := range rig.nodes {
		<-node.done
		node.gate.Close()
		node.links.close()
	}
	for _, srv := range append(rig.engines, rig.plainServers...) {
		srv.Close()
	}
	rig.store.Close()
}

// startNode starts another entry VM in zone z1.
func (rig *testCluster) startNode() *testNode { return rig.startNodeIn("z1") }

// startNodeIn starts another entry VM in the zone.
func (rig *testCluster) startNodeIn(zone string) *testNode {
	rig.t.Helper()
	ip := fmt.Sprintf("%s.%d", rig.subnet, len(rig.nodes)+1)
	node := &testNode{gate: rig.store.NewEndpoint(), links: &serverLinks{proxies: map[string]*soak.Proxy{}}, done: make(chan error, 1)}
	node.settings = site.Settings{
		Node: fmt.Sprintf("n%d", len(rig.nodes)+1), IP: ip, Zone: zone, CallerAddr: net.JoinHostPort(ip, "18081"), ReadinessAddr: net.JoinHostPort(ip, "18082"),
		StoreAddr: node.gate.Addr(), PeerPort: 18083, RelayPort: 18090, StopGrace: stopGrace,
		RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second, ColdRatio: 1.5, ColdSlack: 2,
	}
	node.settings.MemoryBytes, node.settings.MaxFds = rig.memoryBytes, rig.maxFds
	if rig.noRetries {
		node.settings.RetryRatio, node.settings.RetrySlack = 0, 0
	}
	ctx, cancel := context.WithCancel(context.Background())
	node.stop = cancel
	rig.nodes = append(rig.nodes, node)
	opts := entry.Options{Log: logOutput, DrainDelay: drainDelay, MetricsPort: rig.metricsPort, Listen: rig.listen}
	if rig.cuttable {
		opts.Dial = node.links.dial
	}
	daemon := entry.New(opts, node.settings)
	go func() { node.done <- daemon.Run(ctx) }()
	return node
}

// configure writes a version of the configuration, with more routes than the
// default ones.
func (rig *testCluster) configure(version int64, more ...site.Route) {
	rig.version = version
	stream := newRoute("stream", site.KindStream, "engines")
	stream.Timeout, stream.TargetLatency, stream.TargetEventGap, stream.Resumable = 8*time.Second, 400*time.Millisecond, 250*time.Millisecond, rig.resumable
	charge := newRoute("charge", site.KindAtMostOnce, "plain")
	charge.Timeout, charge.MaxAttempts = 1500*time.Millisecond, 1
	raw, err := platfk.ConfigDocument{
		Version: version, Routes: append([]site.Route{stream, charge, newRoute("read", site.KindIdempotent, "plain")}, more...),
		ModelService: "engines", PlainService: "plain", Slots: 8, StepTime: rig.stepTime, Model: model, Size: 2, Org: org, APIKey: key, Cold: rig.cold,
		HeaderTimeout: rig.headerTimeout, IdleTimeout: rig.idleTimeout,
	}.Encode()
	assert.NilError(rig.t, err)
	rig.store.Append(platform.TopicOperator, platform.KeyConfig, raw)
}

// newRoute returns a route with the path prefix /name/.
func newRoute(name string, kind site.RequestKind, service string) site.Route {
	return site.Route{
		Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Targets: []site.Target{{Service: service, Weight: 1}},
		Timeout: 3 * time.Second, TargetLatency: 150 * time.Millisecond, MaxAttempts: 2,
	}
}

// waitFor waits until the condition holds. The test fails after 20 s.
func (rig *testCluster) waitFor(what string, cond func() bool) {
	rig.t.Helper()
	poll.WaitOn(rig.t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// heads returns the model servers that are heads of open groups.
func (rig *testCluster) heads() []*platfk.Server {
	var out []*platfk.Server
	for _, srv := range rig.engines {
		if srv.IsOpenHead() {
			out = append(out, srv)
		}
	}
	return out
}

// setReplies sets how the servers respond.
func setReplies(srvs []*platfk.Server, reply func(req *http.Request, num int) platfk.Response) {
	for _, srv := range srvs {
		srv.SetResponder(reply)
	}
}

// runCount returns how often the servers began to execute the request with the
// ID.
func runCount(srvs []*platfk.Server, id string) int {
	num := 0
	for _, srv := range srvs {
		for _, req := range srv.Requests() {
			if req.AttemptID == id && req.Executed {
				num++
			}
		}
	}
	return num
}

// requestsByID returns the received requests with the ID.
func requestsByID(srvs []*platfk.Server, id string) []platfk.ReceivedRequest {
	return requestsWhere(srvs, func(req platfk.ReceivedRequest) bool { return req.AttemptID == id })
}

// requestsByPath returns the received requests with the path.
func requestsByPath(srvs []*platfk.Server, path string) []platfk.ReceivedRequest {
	return requestsWhere(srvs, func(req platfk.ReceivedRequest) bool { return req.Path == path })
}

func requestsWhere(srvs []*platfk.Server, cond func(req platfk.ReceivedRequest) bool) []platfk.ReceivedRequest {
	var out []platfk.ReceivedRequest
	for _, srv := range srvs {
		for _, req := range srv.Requests() {
			if cond(req) {
				out = append(out, req)
			}
		}
	}
	return out
}

// response is the response that a caller received.
type response struct {
	id     string
	status int
	header http.Header
	body   string
	// complete is set if the body ended as its framing requires.
	complete bool
	err      error
}

func (rig *testCluster) get(node *testNode, path string, hdr map[string]string) response {
	return rig.send(context.Background(), node, http.MethodGet, path, hdr, "")
}

func (rig *testCluster) post(node *testNode, path string, hdr map[string]string) response {
	return rig.send(context.Background(), node, http.MethodPost, path, hdr, "a body")
}

// send sends a request on a new connection and reads the response.
func (rig *testCluster) send(ctx context.Context, node *testNode, method, path string, hdr map[string]string, body string) response {
	resp := response{id: fmt.Sprintf("%016x", rand.Uint64())}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node.settings.CallerAddr+path, strings.NewReader(body))
	assert.NilError(rig.t, err)
	req.Host = host
	req.Header.Set(platform.HeaderAttemptID, resp.id)
	req.Header.Set(platform.HeaderAPIKey, key)
	req.Header.Set(platform.HeaderModel, model)
	req.Header.Set(platform.HeaderDeadline, "6000")
	for name, val := range hdr {
		req.Header.Set(name, val)
	}
	resp.id = req.Header.Get(platform.HeaderAttemptID)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(req)
	if err != nil {
		resp.err = err
		return resp
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	resp.status, resp.header, resp.body, resp.complete, resp.err = res.StatusCode, res.Header, string(raw), err == nil, err
	return resp
}

// wantEvents returns the rest of a stream after the event with the number.
func wantEvents(after int) string {
	out := ""
	for num := after + 1; num <= eventCount; num++ {
		out += platfk.Event(num)
	}
	return out
}

// dial opens a connection to a node and sends raw bytes.
func (rig *testCluster) dial(node *testNode, raw string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", node.settings.CallerAddr)
	assert.NilError(rig.t, err)
	_, err = io.WriteString(conn, raw)
	assert.NilError(rig.t, err)
	return conn, bufio.NewReader(conn)
}
