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
)

// Names of the deployment of a rig.
const (
	host   = "h.example"
	key    = "key-1"
	org    = "org-1"
	model  = "m"
	events = 12
	// grace is the time from the order to stop until a node must have ended.
	grace = 4 * time.Second
	// notice is the time for which a node that stops takes requests.
	notice = 200 * time.Millisecond
)

// logTo gets the nodes' log lines.
var logTo io.Writer = io.Discard

// rig is a deployment: a store, engines in groups of two, plain servers and
// entry VMs.
type rig struct {
	tst     *testing.T
	sto     *platfk.Store
	engines []*platfk.Server
	plains  []*platfk.Server
	nodes   []*node
	version int64
	// resumable is the property of the stream route.
	resumable bool
	subnet    string
	// metrics is the port of the nodes' metrics, zero for none.
	metrics int
}

// node is an entry VM of a rig.
type node struct {
	set  site.Settings
	gate *platfk.Endpoint
	stop context.CancelFunc
	done chan error
}

// newRig starts a deployment with so many entry VMs and groups.
func newRig(t *testing.T, nodes, groups int) *rig {
	t.Helper()
	rig := &rig{tst: t, sto: platfk.NewStore(), resumable: true, subnet: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))}
	t.Cleanup(rig.close)
	for num := range 2 * groups {
		rig.engines = append(rig.engines, platfk.NewServer(rig.sto, platfk.ServerConfig{
			ID: fmt.Sprintf("e%d", num), Service: "engines", Zone: "z1", Domain: fmt.Sprintf("d%d", num/2), Events: events,
		}))
	}
	for num := range 2 {
		rig.plains = append(rig.plains, platfk.NewServer(rig.sto, platfk.ServerConfig{ID: fmt.Sprintf("p%d", num), Service: "plain", Zone: "z1"}))
	}
	for range nodes {
		rig.start()
	}
	return rig
}

// ready waits until the groups serve and the nodes know the configuration.
func (rig *rig) ready() {
	rig.tst.Helper()
	rig.configure(1)
	rig.await("open groups", func() bool { return len(rig.heads()) == len(rig.engines)/2 })
	for _, nod := range rig.nodes {
		rig.await("served request", func() bool { return rig.get(nod, "/read/x", nil).status == http.StatusOK })
		for _, hea := range rig.heads() {
			rig.await("served stream", func() bool {
				ans := rig.post(nod, "/stream/warm", nil)
				return ans.header.Get(platform.HeaderResponseStamp) == "stamp-"+hea.ID()
			})
		}
	}
}

func (rig *rig) close() {
	for _, nod := range rig.nodes {
		nod.stop()
	}
	for _, nod := range rig.nodes {
		<-nod.done
		nod.gate.Close()
	}
	for _, srv := range append(rig.engines, rig.plains...) {
		srv.Close()
	}
	rig.sto.Close()
}

// start starts another entry VM.
func (rig *rig) start() *node { return rig.startIn("z1") }

// startIn starts another entry VM in a zone.
func (rig *rig) startIn(zone string) *node {
	rig.tst.Helper()
	ip := fmt.Sprintf("%s.%d", rig.subnet, len(rig.nodes)+1)
	nod := &node{gate: rig.sto.NewEndpoint(), done: make(chan error, 1)}
	nod.set = site.Settings{
		Node: fmt.Sprintf("n%d", len(rig.nodes)+1), IP: ip, Zone: zone, CallerAddr: net.JoinHostPort(ip, "18081"), ReadinessAddr: net.JoinHostPort(ip, "18082"),
		StoreAddr: nod.gate.Addr(), PeerPort: 18083, StopGrace: grace,
		RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
	}
	ctx, cancel := context.WithCancel(context.Background())
	nod.stop = cancel
	rig.nodes = append(rig.nodes, nod)
	dmn := entry.New(entry.Options{Log: logTo, StopNotice: notice, MetricsPort: rig.metrics}, nod.set)
	go func() { nod.done <- dmn.Run(ctx) }()
	return nod
}

// configure writes a version of the configuration.
func (rig *rig) configure(version int64, more ...site.Route) {
	rig.version = version
	stream := route("stream", site.KindStream, "engines")
	stream.Timeout, stream.TargetLatency, stream.TargetEventGap, stream.Resumable = 8*time.Second, 400*time.Millisecond, 250*time.Millisecond, rig.resumable
	charge := route("charge", site.KindAtMostOnce, "plain")
	charge.Timeout, charge.MaxAttempts = 1500*time.Millisecond, 1
	raw, err := platfk.ConfigDocument{
		Version: version, Routes: append([]site.Route{stream, charge, route("read", site.KindIdempotent, "plain")}, more...),
		ModelService: "engines", PlainService: "plain", Slots: 8, Model: model, Size: 2, Org: org, APIKey: key,
	}.Encode()
	assert.NilError(rig.tst, err)
	rig.sto.Append(platform.TopicOperator, platform.KeyConfig, raw)
}

// route returns a route whose prefix is its name.
func route(name string, knd site.RequestKind, service string) site.Route {
	return site.Route{
		Name: name, Host: host, Prefix: "/" + name + "/", Kind: knd, Targets: []site.Target{{Service: service, Weight: 1}},
		Timeout: 3 * time.Second, TargetLatency: 150 * time.Millisecond, MaxAttempts: 2,
	}
}

// await waits for a condition.
func (rig *rig) await(what string, cond func() bool) {
	rig.tst.Helper()
	poll.WaitOn(rig.tst, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// heads returns the engines that are heads of open groups.
func (rig *rig) heads() []*platfk.Server {
	var out []*platfk.Server
	for _, srv := range rig.engines {
		if srv.IsOpenHead() {
			out = append(out, srv)
		}
	}
	return out
}

// all sets how all servers of a set answer.
func all(srvs []*platfk.Server, rep func(req *http.Request, num int) platfk.Response) {
	for _, srv := range srvs {
		srv.SetResponder(rep)
	}
}

// ran returns how often servers began to run the request with the ID.
func ran(srvs []*platfk.Server, id string) int {
	num := 0
	for _, srv := range srvs {
		for _, one := range srv.Requests() {
			if one.AttemptID == id && one.Executed {
				num++
			}
		}
	}
	return num
}

// arrived returns the requests with the ID that servers received.
func arrived(srvs []*platfk.Server, id string) []platfk.ReceivedRequest {
	var out []platfk.ReceivedRequest
	for _, srv := range srvs {
		for _, one := range srv.Requests() {
			if one.AttemptID == id {
				out = append(out, one)
			}
		}
	}
	return out
}

// answer is what a caller got.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	// whole tells that the answer ended as its framing states.
	whole bool
	err   error
}

func (rig *rig) get(nod *node, path string, hdr map[string]string) answer {
	return rig.ask(context.Background(), nod, http.MethodGet, path, hdr, "")
}

func (rig *rig) post(nod *node, path string, hdr map[string]string) answer {
	return rig.ask(context.Background(), nod, http.MethodPost, path, hdr, "a body")
}

// ask sends a request on a new connection.
func (rig *rig) ask(ctx context.Context, nod *node, method, path string, hdr map[string]string, body string) answer {
	ans := answer{id: fmt.Sprintf("%016x", rand.Uint64())}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+nod.set.CallerAddr+path, strings.NewReader(body))
	assert.NilError(rig.tst, err)
	req.Host = host
	req.Header.Set(platform.HeaderAttemptID, ans.id)
	req.Header.Set(platform.HeaderAPIKey, key)
	req.Header.Set(platform.HeaderModel, model)
	req.Header.Set(platform.HeaderDeadline, "6000")
	for nam, val := range hdr {
		req.Header.Set(nam, val)
	}
	cli := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := cli.Do(req)
	if err != nil {
		ans.err = err
		return ans
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	ans.status, ans.header, ans.body, ans.whole, ans.err = res.StatusCode, res.Header, string(raw), err == nil, err
	return ans
}

// wantEvents returns the events after one, as a whole stream.
func wantEvents(after int) string {
	out := ""
	for num := after + 1; num <= events; num++ {
		out += platfk.Event(num)
	}
	return out
}

// dial opens a connection of a caller and sends raw bytes on it.
func (rig *rig) dial(nod *node, raw string) (net.Conn, *bufio.Reader) {
	con, err := net.Dial("tcp", nod.set.CallerAddr)
	assert.NilError(rig.tst, err)
	_, err = io.WriteString(con, raw)
	assert.NilError(rig.tst, err)
	return con, bufio.NewReader(con)
}
