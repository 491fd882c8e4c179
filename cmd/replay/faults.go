package main

import (
	"slices"

	"kumquathinge/core"
	"kumquathinge/core/trace"
)

// instants returns num times in ascending order.
func (wri *writer) instants(num, length int) []int {
	out := make([]int, num)
	for idx := range out {
		out[idx] = wri.instant(length)
	}
	slices.Sort(out)
	return out
}

func (wri *writer) pause(vmn core.VMName, at, length int) {
	if wri.claim(vmn, at, length+minute) {
		wri.add(trace.Line{Kind: trace.KindPause, AtSeconds: at, VM: vmn})
		wri.add(trace.Line{Kind: trace.KindResume, AtSeconds: at + length, VM: vmn})
	}
}

func (wri *writer) die(vmn core.VMName, at, length int) {
	if wri.claim(vmn, at, length+minute) {
		wri.add(trace.Line{Kind: trace.KindExit, AtSeconds: at, VM: vmn})
		wri.add(trace.Line{Kind: trace.KindRestart, AtSeconds: at + length, VM: vmn})
	}
}

// pauses stop processes for low to high seconds.
func (wri *writer) pauses(num, low, high int) {
	for _, at := range wri.instants(num, high) {
		wri.pause(wri.anyVM(), at, wri.between(low, high))
	}
}

// restarts end processes that the VM starts again.
func (wri *writer) restarts(num int) {
	for _, at := range wri.instants(num, 90) {
		wri.die(wri.anyVM(), at, wri.between(15, 90))
	}
}

// losses take VMs away until the platform has replaced them.
func (wri *writer) losses(num, low, high int) {
	for _, at := range wri.instants(num, high) {
		wri.die(wri.anyVM(), at, wri.between(low, high))
	}
}

// dark cuts domains off.
func (wri *writer) dark(num, low, high int) {
	for _, at := range wri.instants(num, high) {
		dom := layout[wri.rnd.IntN(len(layout))].domain
		length := wri.between(low, high)
		if !wri.claimDomain(dom, at, length+minute) {
			continue
		}
		wri.add(trace.Line{Kind: trace.KindUnreachable, AtSeconds: at, Domain: dom})
		wri.add(trace.Line{Kind: trace.KindReachable, AtSeconds: at + length, Domain: dom})
	}
}

// power ends all processes of a domain; its VMs return within five minutes of
// each other.
func (wri *writer) power(num, low, high int) {
	for _, at := range wri.instants(num, high+5*minute) {
		dom := layout[wri.rnd.IntN(len(layout))].domain
		length := wri.between(low, high)
		if !wri.claimDomain(dom, at, length+6*minute) {
			continue
		}
		for _, vmn := range wri.domain(dom) {
			wri.add(trace.Line{Kind: trace.KindExit, AtSeconds: at, VM: vmn})
			wri.add(trace.Line{Kind: trace.KindRestart, AtSeconds: at + length + wri.rnd.IntN(5*minute), VM: vmn})
		}
	}
}

func (wri *writer) claimDomain(dom core.Domain, at, length int) bool {
	for _, vmn := range wri.domain(dom) {
		if at < wri.busy[vmn] {
			return false
		}
	}
	for _, vmn := range wri.domain(dom) {
		wri.claim(vmn, at, length)
	}
	return true
}

// bursts let two to four VMs of a domain fail within some minutes.
func (wri *writer) bursts(num int) {
	for _, at := range wri.instants(num, hour) {
		vms := wri.domain(layout[wri.rnd.IntN(len(layout))].domain)
		for range 2 + wri.rnd.IntN(3) {
			vmn := vms[wri.rnd.IntN(len(vms))]
			from := at + wri.rnd.IntN(4*minute)
			switch wri.rnd.IntN(3) {
			case 0:
				wri.pause(vmn, from, wri.between(5, 3*minute))
			case 1:
				wri.die(vmn, from, wri.between(15, 90))
			default:
				wri.die(vmn, from, wri.between(5*minute, 40*minute))
			}
		}
	}
}

// crashes end several processes of a domain one after the other, as a request
// does that is sent again.
func (wri *writer) crashes(num int) {
	for _, at := range wri.instants(num, hour) {
		vms := wri.domain(layout[wri.rnd.IntN(len(layout))].domain)
		from := at
		for range 2 + wri.rnd.IntN(4) {
			wri.die(vms[wri.rnd.IntN(len(vms))], from, wri.between(15, 90))
			from += 20 + wri.rnd.IntN(2*minute)
		}
	}
}

// rolling replaces one VM after the other: the platform names it as leaving,
// takes it away, and starts it anew.
func (wri *writer) rolling(num int) {
	step := (wri.span - 2*quiet) / num
	for idx, pos := range wri.rnd.Perm(len(wri.vms))[:num] {
		vmn := wri.vms[pos].Name
		at := quiet + idx*step + wri.rnd.IntN(step/4)
		away := at + 5*minute + wri.rnd.IntN(5*minute)
		back := away + wri.between(3*minute, 15*minute)
		if !wri.claim(vmn, at, back-at+minute) {
			continue
		}
		wri.add(trace.Line{Kind: trace.KindLeaving, AtSeconds: at, VM: vmn})
		wri.add(trace.Line{Kind: trace.KindExit, AtSeconds: away, VM: vmn})
		wri.add(trace.Line{Kind: trace.KindNotLeaving, AtSeconds: back, VM: vmn})
		wri.add(trace.Line{Kind: trace.KindRestart, AtSeconds: back, VM: vmn})
	}
}

// slow makes the loads of VMs take two to five times as long.
func (wri *writer) slow(num int) {
	for _, at := range wri.instants(num, hour) {
		vmn := wri.anyVM()
		wri.add(trace.Line{Kind: trace.KindSlowLoads, AtSeconds: at, VM: vmn, Factor: float64(2 + wri.rnd.IntN(4))})
		wri.add(trace.Line{Kind: trace.KindSlowLoads, AtSeconds: at + 2*hour, VM: vmn, Factor: 1})
	}
}
