package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"kumquathinge/core"
	"kumquathinge/core/trace"
)

const (
	minute = 60
	hour   = 60 * minute
	day    = 24 * hour

	// quiet is the time before the first fault and after the last one.
	quiet = 2 * hour
)

// layout is the fleet of a deployment at today's size: 70 model servers in 3
// zones of 2 fabric domains.
var layout = []struct {
	zone   core.Zone
	domain core.Domain
	vms    int
	groups []int
}{
	{"z1", "z1-a", 12, []int{8, 4}},
	{"z1", "z1-b", 12, []int{4, 4, 2}},
	{"z2", "z2-a", 12, []int{8, 4}},
	{"z2", "z2-b", 12, []int{4, 4, 2}},
	{"z3", "z3-a", 11, []int{8, 2}},
	{"z3", "z3-b", 11, []int{4, 4, 2}},
}

var models = map[int]struct {
	name core.ModelName
	load int
}{
	8: {"text-70b", 150},
	4: {"text-30b", 90},
	2: {"embed-7b", 45},
}

// recipe makes one trace.
type recipe struct {
	name  string
	about string
	span  int
	fill  func(wri *writer)
}

var recipes = []recipe{
	{"week", "an ordinary week: pauses, restarts, a few lost VMs", 7 * day, func(wri *writer) {
		wri.pauses(100, 3, 60)
		wri.restarts(70)
		wri.losses(10, 5*minute, 40*minute)
	}},
	{"pauses", "a bad network: many short pauses", 2 * day, func(wri *writer) {
		wri.pauses(140, 3, 90)
		wri.restarts(10)
	}},
	{"losses", "VMs are lost and replaced by the platform", 3 * day, func(wri *writer) {
		wri.losses(50, 5*minute, 60*minute)
		wri.pauses(30, 3, 60)
	}},
	{"hours", "VMs are lost for hours", 4 * day, func(wri *writer) {
		wri.losses(20, 2*hour, 8*hour)
		wri.pauses(40, 3, 60)
		wri.restarts(20)
	}},
	{"switch", "fabric domains can't be reached for minutes, their processes run on", 3 * day, func(wri *writer) {
		wri.dark(12, 30, 20*minute)
		wri.pauses(40, 3, 60)
		wri.restarts(15)
		wri.losses(5, 5*minute, 40*minute)
	}},
	{"power", "fabric domains lose power and come back empty, one VM after the other", 3 * day, func(wri *writer) {
		wri.power(8, 5*minute, 40*minute)
		wri.restarts(15)
		wri.losses(5, 5*minute, 40*minute)
		wri.pauses(20, 3, 60)
	}},
	{"bursts", "further faults of the same domain while a repair is under way", 3 * day, func(wri *writer) {
		wri.bursts(25)
		wri.pauses(20, 3, 60)
	}},
	{"leaving", "planned replacement of one VM after the other, with ordinary faults", 2 * day, func(wri *writer) {
		wri.rolling(40)
		wri.pauses(20, 3, 60)
		wri.restarts(10)
	}},
	{"slow", "stragglers: pauses of minutes and slow loads", 3 * day, func(wri *writer) {
		wri.slow(12)
		wri.pauses(60, 20, 8*minute)
		wri.restarts(20)
	}},
	{"crashes", "processes crash and restart, often several of a domain", 2 * day, func(wri *writer) {
		wri.restarts(60)
		wri.crashes(15)
	}},
}

// writer collects the lines of a trace. Busy holds until when a VM is in a
// fault already, so that faults of one VM don't overlap.
type writer struct {
	rnd   *rand.Rand
	span  int
	lines []trace.Line
	busy  map[core.VMName]int
	vms   []core.VM
}

func generate(dir string, seed uint64) error {
	for idx, rec := range recipes {
		wri := &writer{
			rnd:  rand.New(rand.NewPCG(seed, uint64(idx))),
			span: rec.span,
			busy: make(map[core.VMName]int),
		}
		wri.head(rec)
		num := len(wri.lines)
		rec.fill(wri)
		slices.SortStableFunc(wri.lines[num:], func(ali, bli trace.Line) int { return cmp.Compare(ali.AtSeconds, bli.AtSeconds) })
		if err := wri.save(filepath.Join(dir, rec.name+".jsonl")); err != nil {
			return err
		}
	}
	return nil
}

func (wri *writer) save(path string) (err error) {
	fil, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = cmp.Or(err, fil.Close()) }()
	return wri.encode(fil)
}

func (wri *writer) encode(out io.Writer) error {
	enc := json.NewEncoder(out)
	for _, lin := range wri.lines {
		if err := enc.Encode(lin); err != nil {
			return err
		}
	}
	return nil
}

func (wri *writer) add(lin trace.Line) { wri.lines = append(wri.lines, lin) }

func (wri *writer) head(rec recipe) {
	wri.add(trace.Line{Kind: trace.KindTrace, Name: rec.name, Description: rec.about, AtSeconds: rec.span})
	wri.add(trace.Line{Kind: trace.KindWeightStore, PerMinute: 30})
	for _, size := range []int{8, 4, 2} {
		wri.add(trace.Line{Kind: trace.KindModel, Model: models[size].name, LoadSeconds: models[size].load})
	}
	for _, lay := range layout {
		for idx := range lay.vms {
			vmx := core.VM{Name: core.VMName(fmt.Sprintf("%s-%02d", lay.domain, idx)), Zone: lay.zone, Domain: lay.domain}
			wri.vms = append(wri.vms, vmx)
			wri.add(trace.Line{Kind: trace.KindVM, VM: vmx.Name, Zone: vmx.Zone, Domain: vmx.Domain})
		}
		for idx, size := range lay.groups {
			grp := core.GroupName(fmt.Sprintf("%s-%s-%d", models[size].name, lay.domain, idx))
			wri.add(trace.Line{Kind: trace.KindGroup, Group: grp, Zone: lay.zone, Size: size, Model: models[size].name})
		}
	}
}

// instant returns a time for a fault that ends before the quiet at the end.
func (wri *writer) instant(length int) int {
	return quiet + wri.rnd.IntN(max(1, wri.span-2*quiet-length))
}

// between returns a duration between low and high, short ones more often: its
// logarithm is uniform.
func (wri *writer) between(low, high int) int {
	ratio := float64(high) / float64(low)
	return int(float64(low) * math.Pow(ratio, wri.rnd.Float64()))
}

// claim reports whether the VM has no fault from at on for length, and notes
// one.
func (wri *writer) claim(vmn core.VMName, at, length int) bool {
	if at < wri.busy[vmn] {
		return false
	}
	wri.busy[vmn] = at + length
	return true
}

func (wri *writer) anyVM() core.VMName { return wri.vms[wri.rnd.IntN(len(wri.vms))].Name }

func (wri *writer) domain(dom core.Domain) []core.VMName {
	var out []core.VMName
	for _, vmx := range wri.vms {
		if vmx.Domain == dom {
			out = append(out, vmx.Name)
		}
	}
	return out
}
