package tail

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
)

// Limits of a batch.
const (
	maxBatchRecords = 512
	maxBatchBytes   = 256 << 10
)

// proposal is a set of records for which one caller awaits the decisions.
type proposal struct {
	id        uint64
	records   []recd.Record
	size      int
	decisions []fold.Decision
	undecided int
	batch     *appendBatch
}

// appendBatch is one log entry to append in an era. maybeAppended states that an append
// may have taken effect, appended that an append returned an offset.
type appendBatch struct {
	id            core.RecordID
	era           core.Era
	data          []byte
	proposals     []*proposal
	maybeAppended bool
	appended      bool
	attempts      int
	retryAt       time.Time
}

// proposer tracks the proposals and their batches.
type proposer struct {
	node         core.NodeName
	incarnation  core.Incarnation
	seq          uint64
	queue        []*proposal
	byID         map[uint64]*proposal
	byRecord     map[core.RecordID][]*proposal
	batches      []*appendBatch
	inFlight     *appendBatch
	nextAppendAt time.Time
}

func (pr *proposer) init(cfg Config) {
	pr.node = cfg.Node
	pr.incarnation = cfg.Incarnation
	pr.byID = map[uint64]*proposal{}
	pr.byRecord = map[core.RecordID][]*proposal{}
}

// awaitingReadBack reports whether a batch awaits its read-back.
func (pr *proposer) awaitingReadBack() bool {
	for _, batch := range pr.batches {
		if batch.maybeAppended || batch.appended {
			return true
		}
	}
	return false
}

func (pr *proposer) newID(kind string) core.RecordID {
	pr.seq++
	return core.RecordID(fmt.Sprintf("%s/%s/%s%d", pr.node, pr.incarnation, kind, pr.seq))
}

func (fol *Follower) handleProposed(event Proposed) {
	err := validateRecords(event.Records)
	if stopErr := fol.state.Err(); err == nil && stopErr != nil {
		err = core.Errorf(core.CodeLogRefused, "the records were not appended: %v", stopErr)
	}
	if err == nil && fol.former != nil {
		err = core.Errorf(core.CodeLogRefused, "the records were not appended: the log came back from an older copy and is being read again")
	}
	if err != nil {
		fol.emit(ProposalResult{ProposalID: event.ProposalID, Err: err})
		return
	}
	prop := &proposal{id: event.ProposalID, records: event.Records, decisions: make([]fold.Decision, len(event.Records))}
	for idx, rec := range event.Records {
		if decision, ok := fol.priorDecision(rec); ok {
			prop.decisions[idx] = decision
			continue
		}
		prop.undecided++
		prop.size += len(recd.Encode(recd.Batch{Version: recd.Version, Records: []recd.Record{rec}}))
	}
	if prop.undecided == 0 {
		fol.emit(ProposalResult{ProposalID: event.ProposalID, Decisions: prop.decisions})
		return
	}
	fol.proposer.add(prop)
}

// priorDecision returns the decision on a record that was applied before. An
// accepted claim that was since released returns core.CodeClaimNotHolder: its
// proposer must not take the old decision as permission to dispatch.
func (fol *Follower) priorDecision(rec recd.Record) (fold.Decision, bool) {
	decision, ok := fol.state.Decision(rec.ID)
	if !ok || rec.Claim == nil || !decision.Accepted() {
		return decision, ok
	}
	claim, held := fol.state.Claim(rec.Claim.Org, rec.Claim.Key)
	if !held || claim.Record != rec.ID {
		decision.Code = core.CodeClaimNotHolder
		decision.Detail = "the claim was released or has expired"
	}
	return decision, true
}

func (pr *proposer) add(prop *proposal) {
	pr.byID[prop.id] = prop
	for idx, rec := range prop.records {
		if prop.decisions[idx].Record == "" {
			pr.byRecord[rec.ID] = append(pr.byRecord[rec.ID], prop)
		}
	}
	pr.queue = append(pr.queue, prop)
}

// validateRecords rejects records that would make a whole batch invalid.
func validateRecords(recs []recd.Record) error {
	if len(recs) == 0 || len(recs) > maxBatchRecords {
		return core.Errorf(core.CodeRecordBad, "a proposal has %d records, not 1 to %d", len(recs), maxBatchRecords)
	}
	seen := core.NewSet[core.RecordID]()
	for _, rec := range recs {
		if rec.ID == "" || seen.Has(rec.ID) {
			return core.Errorf(core.CodeRecordBad, "record ID %q is empty or duplicated", rec.ID)
		}
		seen.Add(rec.ID)
	}
	data := recd.Encode(recd.Batch{Version: recd.Version, Records: recs})
	if len(data) > maxBatchBytes {
		return core.Errorf(core.CodeTooLarge, "a proposal has %d bytes, the limit is %d", len(data), maxBatchBytes)
	}
	_, err := recd.Decode(data)
	return err
}

// handleCancelled ends a proposal whose caller no longer waits.
func (fol *Follower) handleCancelled(event Cancelled) {
	prop, ok := fol.proposer.byID[event.ProposalID]
	if !ok {
		return
	}
	code := core.CodeLogUnknown
	text := "it is unknown whether the records were appended: query record ID %s"
	if prop.batch == nil || (!prop.batch.maybeAppended && fol.proposer.inFlight != prop.batch) {
		code = core.CodeLogRefused
		text = "the records were not appended: %s"
	}
	fol.complete(prop, core.Errorf(code, text, prop.recordIDs()))
}

func (prop *proposal) recordIDs() string {
	out := make([]string, 0, len(prop.records))
	for _, rec := range prop.records {
		out = append(out, string(rec.ID))
	}
	return strings.Join(out, ", ")
}

// complete emits the result of a proposal and removes it.
func (fol *Follower) complete(prop *proposal, err error) {
	pr := &fol.proposer
	delete(pr.byID, prop.id)
	same := func(other *proposal) bool { return other == prop }
	for _, rec := range prop.records {
		pr.byRecord[rec.ID] = slices.DeleteFunc(pr.byRecord[rec.ID], same)
		if len(pr.byRecord[rec.ID]) == 0 {
			delete(pr.byRecord, rec.ID)
		}
	}
	pr.queue = slices.DeleteFunc(pr.queue, same)
	if batch := prop.batch; batch != nil {
		batch.proposals = slices.DeleteFunc(batch.proposals, same)
		pr.deleteIfEmpty(batch)
	}
	result := ProposalResult{ProposalID: prop.id, Err: err}
	if err == nil {
		result.Decisions = prop.decisions
	}
	fol.emit(result)
}

// deleteIfEmpty removes a batch without proposals.
func (pr *proposer) deleteIfEmpty(batch *appendBatch) {
	if len(batch.proposals) > 0 {
		return
	}
	pr.batches = slices.DeleteFunc(pr.batches, func(other *appendBatch) bool { return other == batch })
}

// resolve passes the decisions on an entry to the proposals that await them.
// For a duplicate record it passes the decision on the first appearance.
func (fol *Follower) resolve(decisions []fold.Decision) {
	for _, decision := range decisions {
		fol.handleSnapshotDecision(decision)
		if decision.Code == core.CodeDuplicateRecord {
			decision, _ = fol.state.Decision(decision.Record)
		}
		fol.resolveRecord(decision)
	}
}

func (fol *Follower) resolveRecord(decision fold.Decision) {
	for _, prop := range slices.Clone(fol.proposer.byRecord[decision.Record]) {
		idx := slices.IndexFunc(prop.records, func(rec recd.Record) bool { return rec.ID == decision.Record })
		if prop.decisions[idx].Record != "" {
			continue
		}
		prop.decisions[idx] = decision
		prop.undecided--
		if prop.undecided == 0 {
			fol.complete(prop, nil)
		}
	}
}

// resolveFromState resolves the pending records whose decisions a newly
// installed state contains.
func (fol *Follower) resolveFromState() {
	for _, id := range sortedKeys(fol.proposer.byID) {
		prop, ok := fol.proposer.byID[id]
		if !ok {
			continue
		}
		for _, rec := range prop.records {
			if decision, has := fol.state.Decision(rec.ID); has {
				fol.resolveRecord(decision)
			}
		}
	}
}

func sortedKeys(byID map[uint64]*proposal) []uint64 {
	out := make([]uint64, 0, len(byID))
	for id := range byID {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
