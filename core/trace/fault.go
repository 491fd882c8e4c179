package trace

// apply lets the faults happen that are due and reports whether any was.
func (rnx *run) apply() bool {
	from := rnx.next
	for rnx.next < len(rnx.trc.faults) && seconds(rnx.trc.faults[rnx.next].At) <= rnx.now {
		lin := rnx.trc.faults[rnx.next]
		rnx.next++
		if lin.Domain != "" {
			rnx.applyDomain(lin)
			continue
		}
		if eng, ok := rnx.engines[lin.VM]; ok {
			eng.apply(lin)
		}
	}
	return rnx.next > from
}

func (rnx *run) applyDomain(lin Line) {
	for _, vmx := range rnx.trc.vms {
		if vmx.Domain == lin.Domain {
			rnx.engines[vmx.Name].apply(lin)
		}
	}
}

func (eng *Engine) apply(lin Line) {
	switch lin.Do {
	case KindDie:
		eng.Die()
	case KindReturn:
		eng.Return()
	case KindPause:
		eng.Pause()
	case KindResume:
		eng.Resume()
	case KindDark:
		eng.dark = true
	case KindLight:
		eng.dark = false
	case KindSlow:
		eng.factor = lin.Factor
	case KindLeave:
		eng.leaving = true
	case KindStay:
		eng.leaving = false
	}
}
