package repair_test

import (
	"fmt"
	"testing"
)

// BenchmarkStep measures a step of a controller with groups of eight VMs, once
// while all groups serve and once while each group lacks a member.
func BenchmarkStep(b *testing.B) {
	for _, num := range []int{24, 88, 200} {
		for _, missing := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/missing=%t", num, missing), func(b *testing.B) {
				sim := newSimulation(b.Fatalf, 1, true, num)
				for idx := range num / 8 {
					sim.addGroup(groupName(idx), 8)
				}
				sim.run(60)
				for idx := 0; missing && idx < num; idx += 8 {
					sim.engines[sim.vms[idx].Name].Exit()
				}
				sim.tick()
				node := sim.nodes[0]
				in := sim.input(node)
				b.ReportAllocs()
				for b.Loop() {
					node.controller.Step(in)
				}
			})
		}
	}
}
