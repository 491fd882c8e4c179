package main

import (
	"slices"

	"kumquathinge/core"
	"kumquathinge/core/trace"
)

// faultTimes returns num random times in ascending order for faults of the given
// length. All times and lengths are in seconds.
func (builder *traceBuilder) faultTimes(num, length int) []int {
	out := make([]int, num)
	for idx := range out {
		out[idx] = builder.faultTime(length)
	}
	slices.Sort(out)
	return out
}

func (builder *traceBuilder) addPause(vm core.VMName, at, length int) {
	if builder.reserve(vm, at, length+minute) {
		builder.addLine(trace.Line{Kind: trace.KindPause, AtSeconds: at, VM: vm})
		builder.addLine(trace.Line{Kind: trace.KindResume, AtSeconds: at + length, VM: vm})
	}
}

func (builder *traceBuilder) addRestart(vm core.VMName, at, length int) {
	if builder.reserve(vm, at, length+minute) {
		builder.addLine(trace.Line{Kind: trace.KindExit, AtSeconds: at, VM: vm})
		builder.addLine(trace.Line{Kind: trace.KindRestart, AtSeconds: at + length, VM: vm})
	}
}

// addPauses adds pauses of processes for low to high seconds.
func (builder *traceBuilder) addPauses(num, low, high int) {
	for _, at := range builder.faultTimes(num, high) {
		builder.addPause(builder.anyVM(), at, builder.randomDuration(low, high))
	}
}

// addRestarts adds exits of processes that their VM restarts within 90 seconds.
func (builder *traceBuilder) addRestarts(num int) {
	for _, at := range builder.faultTimes(num, 90) {
		builder.addRestart(builder.anyVM(), at, builder.randomDuration(15, 90))
	}
}

// addLosses adds losses of VMs that the platform replaces after low to high
// seconds.
func (builder *traceBuilder) addLosses(num, low, high int) {
	for _, at := range builder.faultTimes(num, high) {
		builder.addRestart(builder.anyVM(), at, builder.randomDuration(low, high))
	}
}

// addPartitions makes domains unreachable for low to high seconds.
func (builder *traceBuilder) addPartitions(num, low, high int) {
	for _, at := range builder.faultTimes(num, high) {
		dom := fleet[builder.rng.IntN(len(fleet))].domain
		length := builder.randomDuration(low, high)
		if !builder.reserveDomain(dom, at, length+minute) {
			continue
		}
		builder.addLine(trace.Line{Kind: trace.KindUnreachable, AtSeconds: at, Domain: dom})
		builder.addLine(trace.Line{Kind: trace.KindReachable, AtSeconds: at + length, Domain: dom})
	}
}

// addPowerFailures adds power failures of domains. All processes of the domain
// exit, and its VMs return within five minutes of each other.
func (builder *traceBuilder) addPowerFailures(num, low, high int) {
	for _, at := range builder.faultTimes(num, high+5*minute) {
		dom := fleet[builder.rng.IntN(len(fleet))].domain
		length := builder.randomDuration(low, high)
		if !builder.reserveDomain(dom, at, length+6*minute) {
			continue
		}
		for _, vm := range builder.vmsOf(dom) {
			builder.addLine(trace.Line{Kind: trace.KindExit, AtSeconds: at, VM: vm})
			builder.addLine(trace.Line{Kind: trace.KindRestart, AtSeconds: at + length + builder.rng.IntN(5*minute), VM: vm})
		}
	}
}

func (builder *traceBuilder) reserveDomain(dom core.Domain, at, length int) bool {
	for _, vm := range builder.vmsOf(dom) {
		if at < builder.reservedUntil[vm] {
			return false
		}
	}
	for _, vm := range builder.vmsOf(dom) {
		builder.reserve(vm, at, length)
	}
	return true
}

// addBursts adds two to four faults of a domain that start within four minutes.
func (builder *traceBuilder) addBursts(num int) {
	for _, at := range builder.faultTimes(num, hour) {
		vms := builder.vmsOf(fleet[builder.rng.IntN(len(fleet))].domain)
		for range 2 + builder.rng.IntN(3) {
			vm := vms[builder.rng.IntN(len(vms))]
			from := at + builder.rng.IntN(4*minute)
			switch builder.rng.IntN(3) {
			case 0:
				builder.addPause(vm, from, builder.randomDuration(5, 3*minute))
			case 1:
				builder.addRestart(vm, from, builder.randomDuration(15, 90))
			default:
				builder.addRestart(vm, from, builder.randomDuration(5*minute, 40*minute))
			}
		}
	}
}

// addCrashSequences adds successive crashes of processes in a domain, as caused
// by the retries of a request that crashes the engine.
func (builder *traceBuilder) addCrashSequences(num int) {
	for _, at := range builder.faultTimes(num, hour) {
		vms := builder.vmsOf(fleet[builder.rng.IntN(len(fleet))].domain)
		from := at
		for range 2 + builder.rng.IntN(4) {
			builder.addRestart(vms[builder.rng.IntN(len(vms))], from, builder.randomDuration(15, 90))
			from += 20 + builder.rng.IntN(2*minute)
		}
	}
}

// addRollingReplacement adds the planned replacement of one VM after the other.
// The platform lists the VM as leaving, stops it and starts its replacement.
func (builder *traceBuilder) addRollingReplacement(num int) {
	step := (builder.duration - 2*quietTime) / num
	for idx, pos := range builder.rng.Perm(len(builder.vms))[:num] {
		vm := builder.vms[pos].Name
		at := quietTime + idx*step + builder.rng.IntN(step/4)
		exitAt := at + 5*minute + builder.rng.IntN(5*minute)
		restartAt := exitAt + builder.randomDuration(3*minute, 15*minute)
		if !builder.reserve(vm, at, restartAt-at+minute) {
			continue
		}
		builder.addLine(trace.Line{Kind: trace.KindLeaving, AtSeconds: at, VM: vm})
		builder.addLine(trace.Line{Kind: trace.KindExit, AtSeconds: exitAt, VM: vm})
		builder.addLine(trace.Line{Kind: trace.KindNotLeaving, AtSeconds: restartAt, VM: vm})
		builder.addLine(trace.Line{Kind: trace.KindRestart, AtSeconds: restartAt, VM: vm})
	}
}

// addSlowLoads makes model loads on VMs take two to five times as long for two
// hours.
func (builder *traceBuilder) addSlowLoads(num int) {
	for _, at := range builder.faultTimes(num, hour) {
		vm := builder.anyVM()
		builder.addLine(trace.Line{Kind: trace.KindSlowLoads, AtSeconds: at, VM: vm, Factor: float64(2 + builder.rng.IntN(4))})
		builder.addLine(trace.Line{Kind: trace.KindSlowLoads, AtSeconds: at + 2*hour, VM: vm, Factor: 1})
	}
}
