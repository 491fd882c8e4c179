package fold

import "kumquathinge/core"

// remember keeps the verdict, and the audit line if the record is of an
// audited kind.
func (sta *State) remember(ver Verdict, lin AuditLine) {
	if ver.Record == "" || ver.Kind == KindSnapshot {
		return
	}
	sta.putVerdict(ver)
	if audited(ver.Kind) {
		sta.addAudit(lin)
		return
	}
	sta.queue = append(sta.queue, ver.Record)
	if len(sta.queue) > verdictLimit {
		sta.dropVerdict()
	}
}

func (sta *State) putVerdict(ver Verdict) {
	sta.done[ver.Record] = ver
	sta.sum += ver.hash()
}

func (sta *State) deleteVerdict(id core.RecordID) {
	ver := sta.done[id]
	sta.sum -= ver.hash()
	delete(sta.done, id)
}

// dropVerdict forgets the oldest verdict that has no audit line.
func (sta *State) dropVerdict() {
	sta.deleteVerdict(sta.queue[0])
	sta.queue = sta.queue[1:]
}

// expireVerdicts forgets the verdicts that are more than verdictSpan old.
func (sta *State) expireVerdicts() {
	for len(sta.queue) > 0 && sta.done[sta.queue[0]].Offset+verdictSpan < sta.offset {
		sta.dropVerdict()
	}
}

// addAudit appends the line and forgets the oldest above auditLimit, with its
// verdict. A View shares the lines: they are never written again.
func (sta *State) addAudit(lin AuditLine) {
	lin.Subject = clip(lin.Subject)
	lin.Key = clip(lin.Key)
	lin.Old = clip(lin.Old)
	lin.New = clip(lin.New)
	lin.Note = clip(lin.Note)
	sta.audit = append(sta.audit, lin)
	if len(sta.audit) <= auditLimit {
		return
	}
	sta.deleteVerdict(sta.audit[0].Record)
	sta.audit = sta.audit[1:]
}

// audited reports whether records of the kind have audit lines.
func audited(kind string) bool {
	switch kind {
	case KindSetting, KindAssign, KindRetire, KindUnload, KindRule:
		return true
	}
	return false
}

// verdict returns the verdict that the line records.
func (lin AuditLine) verdict() Verdict {
	return Verdict{
		Record: lin.Record, Kind: lin.Kind, By: lin.By,
		Code: lin.Code, Detail: lin.Detail, Offset: lin.Offset,
	}
}
