// Program standin runs one case of the review against the project's own entry
// processes, which it starts with the command of the deploy file. Store, servers
// and clients are small stand-ins on loopback addresses.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment.
const (
	hostName     = "ficu95.example"
	apiKey       = "n2ctnfzs989anu6wsjnb"
	tenantName   = "hule930"
	modelName    = "daka510000"
	modelService = "huvo11a"
	plainService = "wuno96b"
	groupSize    = 2
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitUnable
)

// bed is one deployment: store, servers and nodes.
type bed struct {
	dir     string
	trouble bool
	jr      journal
	st      *store
	lis     net.Listener
	nodes   []*node
	servers []*server
	version int64
}

// routeDoc is one route of the configuration.
type routeDoc struct {
	Name          string `json:"name"`
	Host          string `json:"host"`
	PathPrefix    string `json:"pathPrefix"`
	Kind          string `json:"kind"`
	TimeoutMs     int    `json:"timeoutMs"`
	TargetLatency int    `json:"targetLatencyMs"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"maxAttempts"`
	Public        bool   `json:"public"`
	Sticky        bool   `json:"sticky,omitempty"`
	Resumable     bool   `json:"resumable,omitempty"`
	GapTargetMs   int    `json:"gapTargetMs,omitempty"`
}

// writeConfig writes the next version of the configuration.
func (bd *bed) writeConfig(routes []routeDoc) error {
	bd.version++
	raw, err := json.Marshal(map[string]any{
		"version": bd.version, "routes": routes,
		"services": []map[string]any{
			{"name": modelService, "healthPath": "/health", "maxConns": 464, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 26, "kvCapacityTokens": 2470000, "stride": 6, "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100.0, "pairs_per_m": 0.309,
				"chunk": 2048, "report_lag_ms": 200.0, "loadsPerS": 5.5, "loads_at_once": 8, "usual": map[string]int{"prompt": 1115, "answer": 152}, "keeps": 1, "far_x": 3.0,
				"formMs": float64(openTime.Milliseconds()),
				"models": []map[string]any{{"name": modelName, "size": groupSize, "share": 1.0, "pace": 1.0, "loadS": loadTime.Seconds(), "warmS": loadTime.Seconds()}},
			}},
			{"name": plainService, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenantName, "apiKeys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		return err
	}
	bd.st.put("keyed.op", "config", raw)
	return nil
}

// newBed starts the store. The caller adds servers and nodes.
func newBed(trouble bool) (*bed, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	bd := &bed{dir: dir, trouble: trouble, st: newStore(4 * time.Millisecond)}
	bd.lis, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go bd.st.serve(bd.lis)
	return bd, nil
}

// addServer starts a server.
func (bd *bed) addServer(srv *server) error {
	srv.st, srv.jr = bd.st, &bd.jr
	if srv.id == "" {
		srv.id = fmt.Sprintf("i-%04d", len(bd.servers)+1)
	}
	if srv.zone == "" {
		srv.zone = fmt.Sprintf("z%d", len(bd.servers)%3+1)
	}
	bd.servers = append(bd.servers, srv)
	return srv.start("127.0.0.1:0")
}

// addNodes starts the entry processes and waits until they are ready.
func (bd *bed) addNodes(num int) error {
	prefix, err := freeSubnet(num)
	if err != nil {
		return err
	}
	command, err := deployCommand()
	if err != nil {
		return err
	}
	for pos := 1; pos <= num; pos++ {
		nd := &node{
			name: fmt.Sprintf("front-%d", pos), ip: fmt.Sprintf("%s.%d", prefix, pos), zone: fmt.Sprintf("z%d", (pos-1)%3+1), dir: bd.dir,
			store: bd.lis.Addr().String(), command: command, memoryMB: 414,
		}
		bd.nodes = append(bd.nodes, nd)
		if err = nd.start(); err != nil {
			return err
		}
	}
	return await(20*time.Second, "nodes to be ready", func() bool {
		for _, nd := range bd.nodes {
			if !nd.ready() {
				return false
			}
		}
		return true
	})
}

// openGroups returns the number of groups whose head is open.
func (bd *bed) openGroups() int {
	num := 0
	for _, srv := range bd.servers {
		srv.mu.Lock()
		if srv.group != nil && srv.group.State == "open" {
			num++
		}
		srv.mu.Unlock()
	}
	return num
}

// await waits until cond holds.
func await(limit time.Duration, what string, cond func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if cond() {
			return nil
		}
	}
	return fmt.Errorf("gave up waiting for %s", what)
}

// do sends a request of a client and records it.
func (bd *bed) do(cl *client, nd *node, req request, note string) result {
	bd.jr.addf("sent %s to %s %s %s %s", req.id, nd.name, req.method, req.path, note)
	res := cl.do(req)
	bd.jr.addf("answer %s from %s: status %d stamp %q complete %v %d bytes after %d ms kept %v error %v", req.id, nd.name, res.status, res.stamp, res.complete, len(res.body), res.took.Milliseconds(), res.kept, res.err)
	return res
}

// close ends all processes and writes record.txt.
func (bd *bed) close(folder string, verdict []string) error {
	var wg sync.WaitGroup
	for _, nd := range bd.nodes {
		wg.Go(nd.stop)
	}
	wg.Wait()
	bd.jr.mu.Lock()
	defer bd.jr.mu.Unlock()
	sort.SliceStable(bd.jr.events, func(one, two int) bool { return bd.jr.events[one].at.Before(bd.jr.events[two].at) })
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	for _, line := range verdict {
		fmt.Fprintln(out, line)
		fmt.Println(line)
	}
	for _, ev := range bd.jr.events {
		fmt.Fprintf(out, "%s %s\n", ev.at.Format("15:04:05.000"), ev.text)
	}
	if os.Getenv("KEEP") == "" {
		return os.RemoveAll(bd.dir)
	}
	fmt.Println("logs in", bd.dir)
	return nil
}

// testCase prepares a deployment, plays the case and returns whether the rule was
// broken, with lines that say why.
type testCase func(bd *bed) (broken bool, verdict []string, err error)

var cases = map[string]testCase{"longstream": longStream, "drain": drainMember, "uploads": uploads}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitUnable)
	}
	bd, err := newBed(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnable)
	}
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-sig
		_ = bd.close(os.Args[2], []string{"the case was stopped"})
		os.Exit(exitUnable)
	}()
	broken, verdict, err := cases[os.Args[1]](bd)
	if err != nil {
		verdict = append(verdict, "the case could not run: "+err.Error())
	}
	if closeErr := bd.close(os.Args[2], verdict); err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		os.Exit(exitUnable)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
