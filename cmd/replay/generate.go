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

	// quietTime is the time without faults at the start and end of a trace.
	quietTime = 2 * hour
)

// fleet is a deployment at the current size: 70 model servers in 3 zones with 2
// fabric domains each.
var fleet = []struct {
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
	name        core.ModelName
	loadSeconds int
}{
	8: {"text-70b", 150},
	4: {"text-30b", 90},
	2: {"embed-7b", 45},
}

// traceSpec describes one trace. The duration is in seconds.
type traceSpec struct {
	name        string
	description string
	duration    int
	addFaults   func(builder *traceBuilder)
}

var traceSpecs = []traceSpec{
	{"week", "an ordinary week: pauses, restarts, a few lost VMs", 7 * day, func(builder *traceBuilder) {
		builder.addPauses(100, 3, 60)
		builder.addRestarts(70)
		builder.addLosses(10, 5*minute, 40*minute)
	}},
	{"pauses", "a bad network: many short pauses", 2 * day, func(builder *traceBuilder) {
		builder.addPauses(140, 3, 90)
		builder.addRestarts(10)
	}},
	{"losses", "VMs are lost and replaced by the platform", 3 * day, func(builder *traceBuilder) {
		builder.addLosses(50, 5*minute, 60*minute)
		builder.addPauses(30, 3, 60)
	}},
	{"hours", "VMs are lost for hours", 4 * day, func(builder *traceBuilder) {
		builder.addLosses(20, 2*hour, 8*hour)
		builder.addPauses(40, 3, 60)
		builder.addRestarts(20)
	}},
	{"switch", "fabric domains can't be reached for minutes, their processes run on", 3 * day, func(builder *traceBuilder) {
		builder.addPartitions(12, 30, 20*minute)
		builder.addPauses(40, 3, 60)
		builder.addRestarts(15)
		builder.addLosses(5, 5*minute, 40*minute)
	}},
	{"power", "fabric domains lose power and come back empty, one VM after the other", 3 * day, func(builder *traceBuilder) {
		builder.addPowerFailures(8, 5*minute, 40*minute)
		builder.addRestarts(15)
		builder.addLosses(5, 5*minute, 40*minute)
		builder.addPauses(20, 3, 60)
	}},
	{"bursts", "further faults of the same domain while a repair is under way", 3 * day, func(builder *traceBuilder) {
		builder.addBursts(25)
		builder.addPauses(20, 3, 60)
	}},
	{"leaving", "planned replacement of one VM after the other, with ordinary faults", 2 * day, func(builder *traceBuilder) {
		builder.addRollingReplacement(40)
		builder.addPauses(20, 3, 60)
		builder.addRestarts(10)
	}},
	{"slow", "stragglers: pauses of minutes and slow loads", 3 * day, func(builder *traceBuilder) {
		builder.addSlowLoads(12)
		builder.addPauses(60, 20, 8*minute)
		builder.addRestarts(20)
	}},
	{"crashes", "processes crash and restart, often several of a domain", 2 * day, func(builder *traceBuilder) {
		builder.addRestarts(60)
		builder.addCrashSequences(15)
	}},
}

// traceBuilder collects the lines of a trace. The map reservedUntil holds the end
// of each VM's latest fault, so that faults of one VM don't overlap.
type traceBuilder struct {
	rng           *rand.Rand
	duration      int
	lines         []trace.Line
	reservedUntil map[core.VMName]int
	vms           []core.VM
}

func generate(dir string, seed uint64) error {
	for idx, spec := range traceSpecs {
		builder := &traceBuilder{
			rng:           rand.New(rand.NewPCG(seed, uint64(idx))),
			duration:      spec.duration,
			reservedUntil: make(map[core.VMName]int),
		}
		builder.addHeader(spec)
		num := len(builder.lines)
		spec.addFaults(builder)
		slices.SortStableFunc(builder.lines[num:], func(left, right trace.Line) int { return cmp.Compare(left.AtSeconds, right.AtSeconds) })
		if err := builder.save(filepath.Join(dir, spec.name+".jsonl")); err != nil {
			return err
		}
	}
	return nil
}

func (builder *traceBuilder) save(path string) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = cmp.Or(err, file.Close()) }()
	return builder.encode(file)
}

func (builder *traceBuilder) encode(out io.Writer) error {
	enc := json.NewEncoder(out)
	for _, line := range builder.lines {
		if err := enc.Encode(line); err != nil {
			return err
		}
	}
	return nil
}

func (builder *traceBuilder) addLine(line trace.Line) { builder.lines = append(builder.lines, line) }

func (builder *traceBuilder) addHeader(spec traceSpec) {
	builder.addLine(trace.Line{Kind: trace.KindTrace, Name: spec.name, Description: spec.description, AtSeconds: spec.duration})
	builder.addLine(trace.Line{Kind: trace.KindWeightStore, PerMinute: 30})
	for _, size := range []int{8, 4, 2} {
		builder.addLine(trace.Line{Kind: trace.KindModel, Model: models[size].name, LoadSeconds: models[size].loadSeconds})
	}
	for _, domain := range fleet {
		for idx := range domain.vms {
			vm := core.VM{Name: core.VMName(fmt.Sprintf("%s-%02d", domain.domain, idx)), Zone: domain.zone, Domain: domain.domain}
			builder.vms = append(builder.vms, vm)
			builder.addLine(trace.Line{Kind: trace.KindVM, VM: vm.Name, Zone: vm.Zone, Domain: vm.Domain})
		}
		for idx, size := range domain.groups {
			group := core.GroupName(fmt.Sprintf("%s-%s-%d", models[size].name, domain.domain, idx))
			builder.addLine(trace.Line{Kind: trace.KindGroup, Group: group, Zone: domain.zone, Size: size, Model: models[size].name})
		}
	}
}

// faultTime returns a random time for a fault of the given length outside the
// quiet times.
func (builder *traceBuilder) faultTime(length int) int {
	return quietTime + builder.rng.IntN(max(1, builder.duration-2*quietTime-length))
}

// randomDuration returns a random duration between low and high with a
// log-uniform distribution, so that short ones are more frequent.
func (builder *traceBuilder) randomDuration(low, high int) int {
	ratio := float64(high) / float64(low)
	return int(float64(low) * math.Pow(ratio, builder.rng.Float64()))
}

// reserve returns whether the VM's reservation ends by the time at, and if so
// reserves the VM until at+length.
func (builder *traceBuilder) reserve(vm core.VMName, at, length int) bool {
	if at < builder.reservedUntil[vm] {
		return false
	}
	builder.reservedUntil[vm] = at + length
	return true
}

func (builder *traceBuilder) anyVM() core.VMName {
	return builder.vms[builder.rng.IntN(len(builder.vms))].Name
}

func (builder *traceBuilder) vmsOf(dom core.Domain) []core.VMName {
	var out []core.VMName
	for _, vm := range builder.vms {
		if vm.Domain == dom {
			out = append(out, vm.Name)
		}
	}
	return out
}
