package trace

// applyFaults applies the faults that are due and reports whether there were
// any.
func (sim *simulation) applyFaults() bool {
	from := sim.nextFault
	for sim.nextFault < len(sim.trace.faults) && seconds(sim.trace.faults[sim.nextFault].AtSeconds) <= sim.now {
		line := sim.trace.faults[sim.nextFault]
		sim.nextFault++
		if line.Domain != "" {
			sim.applyToDomain(line)
			continue
		}
		if eng, ok := sim.engines[line.VM]; ok {
			eng.applyFault(line)
		}
	}
	return sim.nextFault > from
}

func (sim *simulation) applyToDomain(line Line) {
	for _, vm := range sim.trace.vms {
		if vm.Domain == line.Domain {
			sim.engines[vm.Name].applyFault(line)
		}
	}
}

func (eng *Engine) applyFault(line Line) {
	switch line.Kind {
	case KindExit:
		eng.Exit()
	case KindRestart:
		eng.Restart()
	case KindPause:
		eng.Pause()
	case KindResume:
		eng.Resume()
	case KindUnreachable:
		eng.unreachable = true
	case KindReachable:
		eng.unreachable = false
	case KindSlowLoads:
		eng.loadFactor = line.Factor
	case KindLeaving:
		eng.leaving = true
	case KindNotLeaving:
		eng.leaving = false
	}
}
