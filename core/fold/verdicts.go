package fold

import "kumquathinge/core"

// storeVerdict stores the verdict, and the audit line if the record is of an
// audited kind.
func (st *State) storeVerdict(verdict Verdict, line AuditLine) {
	if verdict.Record == "" || verdict.Kind == KindSnapshot {
		return
	}
	st.putVerdict(verdict)
	if isAudited(verdict.Kind) {
		st.appendAudit(line)
		return
	}
	st.verdictQueue = append(st.verdictQueue, verdict.Record)
	if len(st.verdictQueue) > maxVerdicts {
		st.deleteOldestVerdict()
	}
}

func (st *State) putVerdict(verdict Verdict) {
	st.verdicts[verdict.Record] = verdict
	st.itemHashSum += verdict.hash()
}

func (st *State) deleteVerdict(id core.RecordID) {
	verdict := st.verdicts[id]
	st.itemHashSum -= verdict.hash()
	delete(st.verdicts, id)
}

// deleteOldestVerdict deletes the oldest verdict that has no audit line.
func (st *State) deleteOldestVerdict() {
	st.deleteVerdict(st.verdictQueue[0])
	st.verdictQueue = st.verdictQueue[1:]
}

// expireVerdicts deletes the verdicts that are more than maxVerdictAge offsets
// old.
func (st *State) expireVerdicts() {
	for len(st.verdictQueue) > 0 && st.verdicts[st.verdictQueue[0]].Offset+maxVerdictAge < st.offset {
		st.deleteOldestVerdict()
	}
}

// appendAudit appends the line. Above maxAuditLines it deletes the oldest line
// and its verdict. Lines are immutable, since views share them.
func (st *State) appendAudit(line AuditLine) {
	line.Subject = truncate(line.Subject)
	line.Key = truncate(line.Key)
	line.Old = truncate(line.Old)
	line.New = truncate(line.New)
	line.Note = truncate(line.Note)
	st.audit = append(st.audit, line)
	if len(st.audit) <= maxAuditLines {
		return
	}
	st.deleteVerdict(st.audit[0].Record)
	st.audit = st.audit[1:]
}

// isAudited reports whether records of the kind have audit lines.
func isAudited(kind string) bool {
	switch kind {
	case KindSetting, KindAssign, KindRetire, KindUnload, KindRule:
		return true
	}
	return false
}

// verdict returns the verdict that the line records.
func (line AuditLine) verdict() Verdict {
	return Verdict{
		Record: line.Record, Kind: line.Kind, By: line.By,
		Code: line.Code, Detail: line.Detail, Offset: line.Offset,
	}
}
