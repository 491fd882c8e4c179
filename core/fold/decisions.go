package fold

import "kumquathinge/core"

// storeDecision stores the decision, and the audit line if the record is of an
// audited kind.
func (st *State) storeDecision(decision Decision, line AuditLine) {
	if decision.Record == "" || decision.Kind == KindSnapshot {
		return
	}
	st.putDecision(decision)
	if isAudited(decision.Kind) {
		st.appendAudit(line)
		return
	}
	st.decisionQueue = append(st.decisionQueue, decision.Record)
	if len(st.decisionQueue) > maxDecisions {
		st.deleteOldestDecision()
	}
}

func (st *State) putDecision(decision Decision) {
	st.decisions[decision.Record] = decision
	st.itemHashSum += decision.hash()
}

func (st *State) deleteDecision(id core.RecordID) {
	decision := st.decisions[id]
	st.itemHashSum -= decision.hash()
	delete(st.decisions, id)
}

// deleteOldestDecision deletes the oldest decision that has no audit line.
func (st *State) deleteOldestDecision() {
	st.deleteDecision(st.decisionQueue[0])
	st.decisionQueue = st.decisionQueue[1:]
}

// expireDecisions deletes the decisions that are more than maxDecisionAge
// offsets old.
func (st *State) expireDecisions() {
	for len(st.decisionQueue) > 0 && st.decisions[st.decisionQueue[0]].Offset+maxDecisionAge < st.offset {
		st.deleteOldestDecision()
	}
}

// appendAudit appends the line. Above maxAuditLines it deletes the oldest line
// and its decision. Lines are immutable, since views share them.
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
	st.deleteDecision(st.audit[0].Record)
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

// decision returns the decision that the line records.
func (line AuditLine) decision() Decision {
	return Decision{
		Record: line.Record, Kind: line.Kind, By: line.By,
		Code: line.Code, Detail: line.Detail, Offset: line.Offset,
	}
}
