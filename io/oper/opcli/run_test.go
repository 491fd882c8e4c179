package opcli_test

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kumquathinge/core"
	"kumquathinge/core/tree"
	"kumquathinge/io/certs"
	"kumquathinge/io/certs/certfk"
	"kumquathinge/io/oper"
	"kumquathinge/io/oper/opcli"
	"kumquathinge/io/oper/operfk"
)

const changeID = "6ba7b810-9dad-41d1-80b4-00c04fd430c8"

// serve serves the node on a loopback port and returns its address.
func serve(t *testing.T, nod *operfk.Node) string {
	t.Helper()
	api, err := oper.New(nod, oper.Config{})
	assert.NilError(t, err)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := api.Server()
	go srv.Serve(lis)
	t.Cleanup(func() { srv.Shutdown() })
	return lis.Addr().String()
}

// refusing returns an address that refuses connections.
func refusing(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, lis.Close())
	return lis.Addr().String()
}

// dropping returns an address that takes requests and drops them.
func dropping(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			con.Read(make([]byte, 1))
			con.Close()
		}
	}()
	return lis.Addr().String()
}

func kumctl(stdin string, args ...string) (int, string, string) {
	var out, errw bytes.Buffer
	cod := opcli.Main(args, strings.NewReader(stdin), &out, &errw)
	return cod, out.String(), errw.String()
}

func statusOf() oper.Status {
	return oper.Status{
		Node: "entry-1", Ready: true,
		Log: oper.LogStatus{Applied: 41, Hash: "00c0ffee"},
		Groups: []oper.GroupStatus{
			{Name: "g1", Model: "alerts-70b", Version: "3", Zone: "a", Domain: "d1", Phase: core.PhaseAssigned, FencingToken: 12, Members: []core.VMName{"vm-1", "vm-2"}, Serving: true, InFlight: 3},
			{Name: "g2", Model: "alerts-70b", Version: "3", Zone: "a", Domain: "d1", Phase: core.PhaseAssigned, FencingToken: 19, Members: []core.VMName{"vm-3", "vm-4"}, Code: core.CodeMemberMissing, Reason: "vm-4 has another incarnation"},
		},
		VMs: []oper.VMStatus{
			{Name: "vm-3", Zone: "a", Domain: "d1", Kind: core.VMEngine, Group: "g2", State: core.EngineReady, FencingToken: 19, ProbeAge: "210ms", Listed: true, Stranded: true},
			{Name: "vm-4", Zone: "a", Domain: "d1", Kind: core.VMEngine, Group: "g2", State: core.EngineEmpty, ProbeAge: "190ms", Leaving: true, Draining: true},
		},
		Nodes: []oper.NodeStatus{
			{Name: "entry-1", Zone: "a", Addr: "127.0.0.1:1", Live: true, Applied: 41, Hash: "00c0ffee", HashOffset: 40, InFlight: 3},
			{Name: "entry-2", Zone: "b", Addr: "127.0.0.1:2", Applied: 39, Hash: "\x1b[31m", HashOffset: 40, LogOK: true, Stopping: true},
		},
		Quarantine: []oper.Quarantined{{Fingerprint: "5ca1ab1e", Crashes: 2, Until: operfk.Epoch}},
	}
}

// TestSession runs commands one after another and compares all that they
// print, with their exit codes.
func TestSession(t *testing.T) {
	nod := operfk.New()
	nod.SetStatus(statusOf())
	srv := serve(t, nod)
	dir := t.TempDir()
	want := filepath.Join(dir, "want.json")
	tree := `{"/models/alerts-70b":{"group.size":2,"model.version":"4"},"/zones/a":{"probe.interval":"200ms"}}`
	assert.NilError(t, os.WriteFile(want, []byte(tree), 0o600))
	lines := []string{
		"set / group.size 4 --id " + changeID + " --note first",
		"set / group.size 5 --base 0 --id 6ba7b810-9dad-41d1-80b4-00c04fd430c9",
		"set / group.size 5 --id " + changeID,
		"set / probe.interval 250",
		"set / probe.period 250ms",
		"set /moons/x group.size 5",
		"set / model.adapters [lima]",
		"outcome " + changeID,
		"outcome 6ba7b810-9dad-41d1-80b4-00c04fd430c9",
		"outcome nothing",
		"diff WANT",
		"-o json diff WANT",
		"apply WANT --note more",
		"diff WANT",
		"get /models/alerts-70b group.size model.version group.zone",
		"get --own /",
		"explain /models/alerts-70b/groups/g1 group.size",
		"-o json explain / group.size",
		"unset /models/alerts-70b group.size --id 6ba7b810-9dad-41d1-80b4-00c04fd430ca",
		"history /models/alerts-70b",
		"audit --after 1 --max 2",
		"drain vm vm-9",
		"drain zone a",
		"status", "groups", "vms", "nodes",
		"codes 302",
		"codes 999",
		"-o json set / group.size 0",
		"set /",
		"get / --loud",
		"get / group.size extra",
		"completion zsh",
	}
	var all strings.Builder
	for _, lin := range lines {
		args := append([]string{"-s", srv}, strings.Fields(strings.ReplaceAll(lin, "WANT", want))...)
		cod, out, errs := kumctl("", args...)
		out = redact(out)
		fmt.Fprintf(&all, "$ kumctl %s\n%s%sexit %d\n\n", lin, out, errs, cod)
	}
	golden.Assert(t, all.String(), "session.golden")
}

// redact replaces the IDs that the command line chose.
func redact(txt string) string {
	lns := strings.Split(txt, "\n")
	for idx, lin := range lns {
		at := strings.Index(lin, "  id ")
		if at >= 0 && !strings.Contains(lin, "6ba7b810") {
			lns[idx] = lin[:at] + "  id ID"
		}
	}
	return strings.Join(lns, "\n")
}

// TestServers checks what the command line makes of several entry VMs, and
// that a change takes effect at most once.
func TestServers(t *testing.T) {
	type servers func(t *testing.T, nod *operfk.Node) []string
	oneThen := func(first func(t *testing.T) string) servers {
		return func(t *testing.T, nod *operfk.Node) []string { return []string{first(t), serve(t, nod)} }
	}
	alone := func(t *testing.T, nod *operfk.Node) []string { return []string{serve(t, nod)} }
	twice := func(t *testing.T, nod *operfk.Node) []string { return []string{serve(t, nod), serve(t, nod)} }
	for _, tt := range []struct {
		name string
		srvs servers
		prep func(nod *operfk.Node)
		exit int
		in   bool
		text string
	}{
		{name: "first refuses connections", srvs: oneThen(refusing), in: true},
		{name: "first drops the request", srvs: oneThen(dropping), in: true},
		{name: "answer lost, then asked again", srvs: twice, prep: func(nod *operfk.Node) { nod.LoseResponses(1) }, in: true},
		{name: "answer lost", srvs: alone, prep: func(nod *operfk.Node) { nod.LoseResponses(1) }, exit: 30, in: true, text: "kumctl outcome " + changeID},
		{name: "log refuses", srvs: twice, prep: func(nod *operfk.Node) { nod.FailAppends(core.CodeLogRefused) }, exit: 40, text: "not_accepted"},
		{name: "log refuses after a drop", srvs: oneThen(dropping), prep: func(nod *operfk.Node) { nod.FailAppends(core.CodeLogRefused) }, exit: 30, text: "kumctl outcome " + changeID},
		{name: "not ready", srvs: alone, prep: func(nod *operfk.Node) { nod.SetNotReady(true) }, exit: 10, text: "code 118"},
		{name: "none reachable", srvs: func(t *testing.T, _ *operfk.Node) []string { return []string{refusing(t), refusing(t)} }, exit: 10, text: "code 121"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			nod := operfk.New()
			if tt.prep != nil {
				tt.prep(nod)
			}
			args := []string{"set", "/", "group.size", "4", "--base", "0", "--id", changeID}
			for _, srv := range tt.srvs(t, nod) {
				args = append(args, "-s", srv)
			}
			cod, out, errs := kumctl("", args...)
			assert.Equal(t, cod, tt.exit, errs)
			assert.Assert(t, strings.Contains(errs, tt.text), errs)
			assert.Equal(t, strings.Contains(out, "accepted at offset 1"), tt.exit == 0, out)
			nod.SetNotReady(false)
			assert.Equal(t, nod.View().Tree().Config(tree.Root).Int("group.size") == 4, tt.in)
			assert.Equal(t, nod.View().Tree().Version(tree.Root) == 1, tt.in)
		})
	}
}

// TestApplyStops checks that apply stops at the first change that is not
// accepted and tells what is left, and that a bad file changes nothing.
func TestApplyStops(t *testing.T) {
	nod := operfk.New()
	srv := serve(t, nod)
	fil := `{"/":{"group.size":2},"/zones/a":{"probe.interval":"200ms"}}`
	cod, _, errs := kumctl(fil, "-s", srv, "apply", "-")
	assert.Equal(t, cod, 0, errs)
	nod.FailAppends(core.CodeLogRefused)
	cod, out, _ := kumctl(strings.ReplaceAll(fil, "2", "3"), "-s", srv, "apply", "-")
	assert.Equal(t, cod, 40)
	assert.Equal(t, out, "0 accepted, 2 left\n")
	for _, bad := range []string{`{`, `[]`, `{"/":{"group.size":"2"}}`, `{"/x":{"group.size":2}}`, `{"/":{"x":2}}`, `{} {}`} {
		cod, _, _ = kumctl(bad, "-s", srv, "diff", "-")
		assert.Assert(t, cod == 10 || cod == 30, bad)
	}
	assert.Equal(t, nod.AppendCount(), 2)
}

func TestTimeout(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer lis.Close()
	cod, _, errs := kumctl("", "-s", lis.Addr().String(), "--timeout", (50 * time.Millisecond).String(), "get", "/")
	assert.Equal(t, cod, 10, errs)
}

// TestOverview joins what entry VMs of two zones know, while a third does not
// answer: of each group the node of its own zone is believed.
func TestOverview(t *testing.T) {
	var args []string
	for _, zon := range []core.Zone{"a", "b"} {
		sta := oper.Status{Node: core.NodeName("entry-" + zon), Ready: true}
		for _, oth := range []core.Zone{"a", "b", "c"} {
			grp := oper.GroupStatus{Name: core.GroupName("g-" + oth), Zone: oth, Serving: oth == zon && zon == "a"}
			if oth != zon {
				grp.Code, grp.Reason = core.CodeGroupUnknown, "of another zone"
			} else if oth == "b" {
				grp.Code, grp.Reason = core.CodeMemberMissing, "vm-4 is gone"
			}
			sta.Groups = append(sta.Groups, grp)
			hash := "1"
			if oth == "b" {
				hash = "2"
			}
			sta.Nodes = append(sta.Nodes, oper.NodeStatus{Name: core.NodeName("entry-" + oth), Zone: oth, Live: oth != "c", Hash: hash, HashOffset: 7})
		}
		nod := operfk.New()
		nod.SetStatus(sta)
		args = append(args, "-s", serve(t, nod))
	}
	args = append(args, "-s", refusing(t))
	var all string
	for _, cmd := range []string{"status", "groups", "nodes"} {
		cod, out, errs := kumctl("", append([]string{cmd}, args...)...)
		assert.Equal(t, cod, 0)
		assert.Assert(t, strings.Contains(errs, "code 121"), errs)
		all += out
	}
	golden.Assert(t, all, "overview.golden")
	cod, _, _ := kumctl("", "-s", refusing(t), "status")
	assert.Equal(t, cod, 10)
}

// TestMutualTLS calls a server that demands a certificate.
func TestMutualTLS(t *testing.T) {
	now := time.Now()
	aut, err := certfk.New(t.TempDir(), "ca", now)
	assert.NilError(t, err)
	fil, err := aut.Sign("ana", now.Add(-time.Hour), now.Add(time.Hour), x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth)
	assert.NilError(t, err)
	cfg, err := certs.Load(fil, now)
	assert.NilError(t, err)
	api, err := oper.New(operfk.New(), oper.Config{})
	assert.NilError(t, err)
	lis, err := tls.Listen("tcp", "127.0.0.1:0", cfg)
	assert.NilError(t, err)
	srv := api.Server()
	go srv.Serve(lis)
	defer srv.Shutdown()
	good := []string{"--tls-cert", fil.Cert, "--tls-key", fil.Key, "--tls-ca", fil.CA}
	for _, tt := range []struct {
		args []string
		exit int
	}{
		{good, 0},
		{nil, 10},
		{good[:4], 60},
		{append([]string{"--tls-cert", fil.Key}, good[2:]...), 60},
	} {
		cod, _, errs := kumctl("", append(tt.args, "-s", lis.Addr().String(), "get", "/")...)
		assert.Equal(t, cod, tt.exit, errs)
	}
}

func FuzzDecodeFile(f *testing.F) {
	f.Add([]byte(`{"/":{"group.size":2,"group.zone":null}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		fil, err := opcli.DecodeFile(raw)
		if err != nil {
			assert.Assert(t, core.CodeOf(err) != core.CodeUnknownOutcome, "%v", err)
			return
		}
		for pth, keys := range fil {
			for key, val := range keys {
				assert.NilError(t, tree.Validate(pth, key, val))
			}
		}
	})
}
