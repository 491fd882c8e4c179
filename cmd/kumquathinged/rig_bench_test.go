package main_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/io/engine"
	"kumquathinge/io/logs"
	"kumquathinge/io/peer"
	"kumquathinge/node"
	"kumquathinge/stand"
)

// Shape of a rig.
const (
	rigZones   = 7
	rigGroup   = 8
	rigModel   = "m1"
	rigZone    = core.Zone("z0")
	rigFanout  = 12
	rigWarm    = 5 * time.Second
	rigPerPeer = 500 * time.Millisecond
)

// rigConfig is the size of a deployment as one entry VM sees it: all entry
// VMs, the model servers of its zone, those of all zones, and organisations.
type rigConfig struct {
	nodes   int
	servers int
	listed  int
	orgs    int
	token   time.Duration
}

func (cfg rigConfig) String() string {
	return fmt.Sprintf("nodes=%d/servers=%d/listed=%d/orgs=%d", cfg.nodes, cfg.servers, cfg.listed, cfg.orgs)
}

// rig is one daemon as a process of its own before stand-ins of the platform,
// of the zone's engines and of all other entry VMs, which run in the process
// of the benchmark. It counts what passes over the daemon's connections.
type rig struct {
	tst   testing.TB
	cfg   rigConfig
	log   *stand.Log
	lgc   core.Log
	vers  map[string]core.Offset
	vms   []core.VM
	bytes map[string]*atomic.Int64
	cmd   *exec.Cmd
	addrs node.Listen
	seq   atomic.Uint64
	recs  atomic.Uint64
	beat  core.Heartbeat
	leads []lead
}

// lead is the first engine of a group of the daemon's zone.
type lead struct {
	addr string
	grp  core.GroupName
	num  core.Offset
}

// counted counts the bytes of the connections of a listener.
type counted struct {
	net.Listener
	bytes *atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (cou counted) Accept() (net.Conn, error) {
	con, err := cou.Listener.Accept()
	return countedConn{con, cou.bytes}, err
}

func (cou countedConn) Read(buf []byte) (int, error) {
	num, err := cou.Conn.Read(buf)
	cou.bytes.Add(int64(num))
	return num, err
}

func (cou countedConn) Write(buf []byte) (int, error) {
	num, err := cou.Conn.Write(buf)
	cou.bytes.Add(int64(num))
	return num, err
}

// newRig starts the stand-ins and the daemon and waits until it serves.
func newRig(tst testing.TB, cfg rigConfig) *rig {
	rig := &rig{
		tst: tst, cfg: cfg, log: stand.NewLog(), vers: map[string]core.Offset{},
		bytes: map[string]*atomic.Int64{"log": {}, "list": {}, "peer": {}, "probe": {}, "plain": {}},
	}
	rig.lgc = logs.New("http://" + rig.serve(rig.log, "log"))
	rig.beat = core.Heartbeat{Incarnation: "7b0f3c52-8f63-4d0e-9a9e-000000000001", LogOK: true, InFlight: 218, Usage: map[core.OrgName]core.Usage{}, InFlightByGroup: map[core.GroupName]int{}}
	rig.settings()
	rig.groups()
	rig.peers()
	pla := stand.NewPlain("fees-1")
	rig.vms = append(rig.vms, core.VM{Name: "fees-1", Addr: rig.serve(pla, "plain"), Zone: rigZone, Kind: core.VMPlain, Service: "fees"})
	list := rig.serve(stand.NewVMs(rig.vms...), "list")
	rig.daemon(list)
	rig.inbound()
	rig.await()
	return rig
}

// serve runs a stand-in on a counted listener until the benchmark ends.
func (rig *rig) serve(srv interface {
	Serve(net.Listener) error
	Close() error
}, kind string) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(rig.tst, err)
	go func() { _ = srv.Serve(counted{lis, rig.bytes[kind]}) }()
	rig.tst.Cleanup(func() { _ = srv.Close() })
	return lis.Addr().String()
}

// append appends one record and returns its offset.
func (rig *rig) append(recs ...recd.Record) core.Offset {
	for idx := range recs {
		recs[idx].ID = core.RecordID(fmt.Sprintf("entry-vm-017/5f3a9c21/r%d", rig.recs.Add(1)))
	}
	off, err := rig.lgc.Append(rig.tst.Context(), recs[0].ID, recd.Encode(recd.Batch{Version: recd.Version, Records: recs}))
	assert.NilError(rig.tst, err)
	return off
}

// set puts a setting into the log.
func (rig *rig) set(pth, key string, val any) {
	raw, err := json.Marshal(val)
	assert.NilError(rig.tst, err)
	rig.vers[pth] = rig.append(recd.Record{By: "ana", Setting: &recd.Setting{Path: pth, Key: key, Value: raw, Base: rig.vers[pth]}})
}

// settings configures the model and the organisations with ample limits.
func (rig *rig) settings() {
	for key, val := range map[string]any{
		"org.concurrency": 100_000, "org.requests_per_second": 100_000, "org.tokens_per_second": 10_000_000,
		"queue.depth": 10_000, "request.deadline": "120s", "vm.fencing": true,
	} {
		rig.set("/", key, val)
	}
	for idx := range rig.cfg.orgs {
		sum := sha256.Sum256([]byte(orgKey(idx)))
		rig.set(fmt.Sprintf("/orgs/organisation-%d", idx), "org.key_hashes", []string{hex.EncodeToString(sum[:])})
		rig.beat.Usage[core.OrgName(fmt.Sprintf("organisation-%d", idx))] = core.Usage{Requests: 1.5, Tokens: 900.5, Running: 12}
	}
	rig.set("/services/fees", "service.enabled", true)
	rig.set("/models/"+rigModel, "model.version", "v1")
	rig.set("/models/"+rigModel, "model.capacity", 5000)
	rig.set("/models/"+rigModel, "group.enabled", true)
}

func orgKey(idx int) string { return fmt.Sprintf("key-%d", idx) }

// groups lists the servers of all zones, assigns their groups and loads those
// of the daemon's zone, whose servers alone are run.
func (rig *rig) groups() {
	zone := rigZone
	for idx := 0; idx < rig.cfg.listed; idx += rigGroup {
		if idx >= rig.cfg.servers {
			zone = core.Zone(fmt.Sprint("z", 1+idx/rigGroup%(rigZones-1)))
		}
		var nams []core.VMName
		for mem := idx; mem < min(idx+rigGroup, rig.cfg.listed); mem++ {
			nam := core.VMName(fmt.Sprintf("engine-vm-%04d", mem))
			adr := fmt.Sprintf("10.1.%d.%d:7500", mem/256, mem%256)
			if zone == rigZone {
				adr = rig.serve(stand.NewEngine(stand.EngineConfig{VM: nam, Fencing: true, TokenTime: rig.cfg.token, Slots: 4096}), "probe")
			}
			rig.vms = append(rig.vms, core.VM{Name: nam, Addr: adr, Zone: zone, Domain: core.Domain(fmt.Sprintf("%s-d%d", zone, idx/64)), Kind: core.VMEngine})
			nams = append(nams, nam)
		}
		if len(nams) == rigGroup {
			rig.group(idx/rigGroup, zone, nams)
		}
	}
}

// group assigns one group and loads it if it is in the daemon's zone.
func (rig *rig) group(idx int, zone core.Zone, nams []core.VMName) {
	grp := core.GroupName(fmt.Sprintf("group-%03d", idx))
	rig.set(fmt.Sprintf("/models/%s/groups/%s", rigModel, grp), "group.zone", zone)
	spec := core.Spec{Model: rigModel, Version: "v1", Role: core.RoleBoth}
	num := rig.append(recd.Record{By: "e000", Assign: &recd.Assign{
		Group: grp, Zone: zone, Domain: core.Domain(fmt.Sprintf("%s-d%d", zone, idx*rigGroup/64)), VMs: nams, Spec: spec,
	}})
	if zone != rigZone {
		return
	}
	rig.beat.InFlightByGroup[grp] = 21
	rig.leads = append(rig.leads, lead{rig.vms[len(rig.vms)-rigGroup].Addr, grp, num})
	for rank, vmx := range rig.vms[len(rig.vms)-rigGroup:] {
		eng := engine.New(vmx.Addr, engine.Config{})
		_, err := eng.Order(rig.tst.Context(), core.Order{FencingToken: num, Action: core.ActionLoad, Group: grp, Spec: spec, Members: nams, Rank: rank})
		assert.NilError(rig.tst, err)
		eng.Close()
	}
}

// peerOf answers beats for one of the other entry VMs.
type peerOf struct {
	rig *rig
	idx int
}

var _ peer.Backend = peerOf{}

// Exchange returns a new beat.
func (per peerOf) Exchange(core.Heartbeat) core.Heartbeat { return per.next() }

func (per peerOf) next() core.Heartbeat {
	bea := per.rig.beat
	vmx := per.rig.vms[per.idx]
	bea.Node, bea.Zone, bea.Addr, bea.Seq = core.NodeName(vmx.Name), vmx.Zone, vmx.Addr, per.rig.seq.Add(1)
	bea.Applied = per.rig.log.Next() - 1
	return bea
}

func (per peerOf) Relay(context.Context, core.Offset, int) (core.Page, error) {
	return core.Page{}, core.Errorf(core.CodeLogDown, "none")
}

func (per peerOf) State(context.Context) ([]byte, error) {
	return nil, core.Errorf(core.CodeLogDown, "none")
}

func (per peerOf) Run(context.Context, core.Job, core.Sink) error {
	return core.Errorf(core.CodeNoGroup, "none")
}

// peers starts the other entry VMs, zone by zone in turn.
func (rig *rig) peers() {
	for idx := 1; idx < rig.cfg.nodes; idx++ {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(rig.tst, err)
		rig.vms = append(rig.vms, core.VM{
			Name: core.VMName(fmt.Sprintf("entry-vm-%03d", idx)), Addr: lis.Addr().String(),
			Zone: core.Zone(fmt.Sprint("z", idx%rigZones)), Kind: core.VMEntry,
		})
		srv := &http.Server{Handler: peer.Handler(peerOf{rig, len(rig.vms) - 1}, time.Second)}
		go func() { _ = srv.Serve(counted{lis, rig.bytes["peer"]}) }()
		rig.tst.Cleanup(func() { _ = srv.Close() })
	}
}

// inbound lets each of the other entry VMs exchange beats with the daemon as
// often as a node of a deployment of this size does.
func (rig *rig) inbound() {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		var dlr net.Dialer
		con, err := dlr.DialContext(ctx, network, addr)
		return countedConn{con, rig.bytes["peer"]}, err
	}
	others := rig.cfg.nodes - 1
	pause := rigPerPeer * time.Duration(others) / time.Duration(max(1, min(others, rigFanout)))
	ctx, cancel := context.WithCancel(context.Background())
	rig.tst.Cleanup(cancel)
	for idx, vmx := range rig.vms {
		if vmx.Kind != core.VMEntry {
			continue
		}
		per := peerOf{rig, idx}
		cli := peer.New("http://"+rig.addrs.Peers, peer.Config{DialTimeout: time.Second, CallTimeout: time.Second, StreamIdleTimeout: time.Second, DialContext: dial})
		start := pause * time.Duration(idx%97) / 97
		go func() {
			for next := time.After(start); ; next = time.After(pause) {
				select {
				case <-ctx.Done():
					return
				case <-next:
					_, _ = cli.Exchange(ctx, per.next())
				}
			}
		}()
	}
}

var startLine = regexp.MustCompile(`(callers|metrics|operators|peers)="?([0-9.:]+)"?`)

// daemon starts the daemon and reads its addresses.
func (rig *rig) daemon(list string) {
	const any = "127.0.0.1:0"
	raw, err := json.Marshal(node.Config{
		Node: "e000", Zone: rigZone, Listen: node.Listen{Callers: any, Operators: any, Peers: any, Metrics: any},
		Log: rig.lgAddr(), VMs: list,
	})
	assert.NilError(rig.tst, err)
	file := filepath.Join(rig.tst.TempDir(), "e000.json")
	assert.NilError(rig.tst, os.WriteFile(file, raw, 0o600))
	rig.cmd = exec.Command(program, "--config", file)
	out, err := rig.cmd.StderrPipe()
	assert.NilError(rig.tst, err)
	assert.NilError(rig.tst, rig.cmd.Start())
	rig.tst.Cleanup(func() {
		_ = rig.cmd.Process.Signal(syscall.SIGKILL)
		_ = rig.cmd.Wait()
	})
	got := make(chan node.Listen, 1)
	go func() {
		for scn := bufio.NewScanner(out); scn.Scan(); {
			if !strings.Contains(scn.Text(), "event=start ") {
				continue
			}
			val := map[string]string{}
			for _, fld := range startLine.FindAllStringSubmatch(scn.Text(), -1) {
				val[fld[1]] = fld[2]
			}
			got <- node.Listen{Callers: val["callers"], Metrics: val["metrics"], Operators: val["operators"], Peers: val["peers"]}
		}
	}()
	rig.addrs = <-got
}

func (rig *rig) lgAddr() string { return rig.log.Addr() }

// vars are the metrics that the benchmarks read.
type vars struct {
	Node struct {
		Applied int `json:"applied"`
		Live    int `json:"live_nodes"`
		Serving int `json:"groups_serving"`
	} `json:"kumquathinge"`
	Mem struct {
		HeapAlloc uint64
		HeapInuse uint64
	} `json:"memstats"`
}

func (rig *rig) vars() vars {
	var got vars
	res, err := http.Get("http://" + rig.addrs.Metrics + "/debug/vars")
	assert.NilError(rig.tst, err)
	defer res.Body.Close()
	assert.NilError(rig.tst, json.NewDecoder(res.Body).Decode(&got))
	return got
}

// await waits until all groups of the zone serve, and then for the daemon to
// have settled.
func (rig *rig) await() {
	for end := time.Now().Add(time.Minute); rig.vars().Node.Serving < len(rig.beat.InFlightByGroup); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			rig.tst.Fatalf("%d of %d groups serve", rig.vars().Node.Serving, len(rig.beat.InFlightByGroup))
		}
	}
	time.Sleep(rigWarm)
}

// cpu is the processor time that the daemon has used.
func (rig *rig) cpu() time.Duration {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", rig.cmd.Process.Pid))
	assert.NilError(rig.tst, err)
	sum := 0
	for _, fil := range files {
		raw, err := os.ReadFile(fil)
		if err == nil {
			num, _ := strconv.Atoi(strings.Fields(string(raw))[0])
			sum += num
		}
	}
	return time.Duration(sum)
}

// resident is the daemon's resident memory in bytes.
func (rig *rig) resident() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", rig.cmd.Process.Pid))
	assert.NilError(rig.tst, err)
	num, err := strconv.Atoi(strings.Fields(string(raw))[1])
	assert.NilError(rig.tst, err)
	return float64(num * os.Getpagesize())
}
