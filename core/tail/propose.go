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

// proposal is what one caller waits for.
type proposal struct {
	ticket  uint64
	records []recd.Record
	size    int
	vers    []fold.Verdict
	open    int
	batch   *batch
}

// batch is one log entry on its way. Sent tells that an append may have taken
// effect, done that an append was answered with an offset.
type batch struct {
	id    core.RecordID
	data  []byte
	props []*proposal
	sent  bool
	done  bool
	tries int
	at    time.Time
}

// proposer holds the proposals and their batches.
type proposer struct {
	node    core.NodeName
	run     core.Incarnation
	seq     uint64
	queue   []*proposal
	byTick  map[uint64]*proposal
	byRec   map[core.RecordID][]*proposal
	batches []*batch
	busy    *batch
	nextAt  time.Time
}

func (prs *proposer) init(cfg Config) {
	prs.node = cfg.Node
	prs.run = cfg.Run
	prs.byTick = map[uint64]*proposal{}
	prs.byRec = map[core.RecordID][]*proposal{}
}

// waiting reports whether a batch waits for its read-back.
func (prs *proposer) waiting() bool {
	for _, bat := range prs.batches {
		if bat.sent || bat.done {
			return true
		}
	}
	return false
}

func (prs *proposer) newID(kind string) core.RecordID {
	prs.seq++
	return core.RecordID(fmt.Sprintf("%s/%s/%s%d", prs.node, prs.run, kind, prs.seq))
}

func (fol *Follower) proposed(evt Proposed) {
	err := checkRecords(evt.Records)
	if stp := fol.sta.Err(); err == nil && stp != nil {
		err = core.Errorf(core.CodeLogRefused, "the records were not appended: %v", stp)
	}
	if err != nil {
		fol.do(Answer{Ticket: evt.Ticket, Err: err})
		return
	}
	prp := &proposal{ticket: evt.Ticket, records: evt.Records, vers: make([]fold.Verdict, len(evt.Records))}
	for idx, rec := range evt.Records {
		if ver, ok := fol.decided(rec); ok {
			prp.vers[idx] = ver
			continue
		}
		prp.open++
		prp.size += len(recd.Encode(recd.Batch{Version: recd.Version, Records: []recd.Record{rec}}))
	}
	if prp.open == 0 {
		fol.do(Answer{Ticket: evt.Ticket, Verdicts: prp.vers})
		return
	}
	fol.props.add(prp)
}

// decided returns the verdict on a record that was decided on before. A claim
// counts as accepted only while it stands: after a release its proposer must
// not take the old verdict for the right to dispatch.
func (fol *Follower) decided(rec recd.Record) (fold.Verdict, bool) {
	ver, ok := fol.sta.Verdict(rec.ID)
	if !ok || rec.Claim == nil || !ver.Accepted() {
		return ver, ok
	}
	clm, held := fol.sta.Claim(rec.Claim.Org, rec.Claim.Key)
	if !held || clm.Record != rec.ID {
		ver.Code = core.CodeClaimNotHolder
		ver.Detail = "the claim was released or forgotten"
	}
	return ver, true
}

func (prs *proposer) add(prp *proposal) {
	prs.byTick[prp.ticket] = prp
	for idx, rec := range prp.records {
		if prp.vers[idx].Record == "" {
			prs.byRec[rec.ID] = append(prs.byRec[rec.ID], prp)
		}
	}
	prs.queue = append(prs.queue, prp)
}

// checkRecords refuses records that would be rejected as damaged, and with
// them the whole batch.
func checkRecords(recs []recd.Record) error {
	if len(recs) == 0 || len(recs) > maxBatchRecords {
		return core.Errorf(core.CodeRecordBad, "a proposal has %d records, not 1 to %d", len(recs), maxBatchRecords)
	}
	seen := core.NewSet[core.RecordID]()
	for _, rec := range recs {
		if rec.ID == "" || seen.Has(rec.ID) {
			return core.Errorf(core.CodeRecordBad, "record ID %q is empty or stands twice", rec.ID)
		}
		seen.Add(rec.ID)
	}
	data := recd.Encode(recd.Batch{Version: recd.Version, Records: recs})
	if len(data) > maxBatchBytes {
		return core.Errorf(core.CodeTooLarge, "a proposal has %d bytes, more than %d", len(data), maxBatchBytes)
	}
	_, err := recd.Decode(data)
	return err
}

// givenUp ends a proposal whose caller waits no longer.
func (fol *Follower) givenUp(evt GivenUp) {
	prp, ok := fol.props.byTick[evt.Ticket]
	if !ok {
		return
	}
	cod := core.CodeLogUnknown
	txt := "it is not known whether the log took the records: ask by ID %s"
	if prp.batch == nil || (!prp.batch.sent && fol.props.busy != prp.batch) {
		cod = core.CodeLogRefused
		txt = "the records were not appended: %s"
	}
	fol.finish(prp, core.Errorf(cod, txt, prp.ids()))
}

func (prp *proposal) ids() string {
	out := make([]string, 0, len(prp.records))
	for _, rec := range prp.records {
		out = append(out, string(rec.ID))
	}
	return strings.Join(out, ", ")
}

// finish answers a proposal and forgets it.
func (fol *Follower) finish(prp *proposal, err error) {
	prs := &fol.props
	delete(prs.byTick, prp.ticket)
	same := func(oth *proposal) bool { return oth == prp }
	for _, rec := range prp.records {
		prs.byRec[rec.ID] = slices.DeleteFunc(prs.byRec[rec.ID], same)
		if len(prs.byRec[rec.ID]) == 0 {
			delete(prs.byRec, rec.ID)
		}
	}
	prs.queue = slices.DeleteFunc(prs.queue, same)
	if bat := prp.batch; bat != nil {
		bat.props = slices.DeleteFunc(bat.props, same)
		prs.drop(bat)
	}
	ans := Answer{Ticket: prp.ticket, Err: err}
	if err == nil {
		ans.Verdicts = prp.vers
	}
	fol.do(ans)
}

// drop forgets a batch that nobody waits for.
func (prs *proposer) drop(bat *batch) {
	if len(bat.props) > 0 {
		return
	}
	prs.batches = slices.DeleteFunc(prs.batches, func(oth *batch) bool { return oth == bat })
}

// settle hands the verdicts of an entry to the proposals that wait for them.
// The verdict on a repeat is that on the first appearance.
func (fol *Follower) settle(vers []fold.Verdict) {
	for _, ver := range vers {
		fol.snapshotSeen(ver)
		if ver.Code == core.CodeDuplicateRecord {
			ver, _ = fol.sta.Verdict(ver.Record)
		}
		fol.settleOne(ver)
	}
}

func (fol *Follower) settleOne(ver fold.Verdict) {
	for _, prp := range slices.Clone(fol.props.byRec[ver.Record]) {
		idx := slices.IndexFunc(prp.records, func(rec recd.Record) bool { return rec.ID == ver.Record })
		if prp.vers[idx].Record != "" {
			continue
		}
		prp.vers[idx] = ver
		prp.open--
		if prp.open == 0 {
			fol.finish(prp, nil)
		}
	}
}

// settleAdopted looks for the records waited for in a state that came whole.
func (fol *Follower) settleAdopted() {
	for _, tic := range sortedKeys(fol.props.byTick) {
		prp, ok := fol.props.byTick[tic]
		if !ok {
			continue
		}
		for _, rec := range prp.records {
			if ver, has := fol.sta.Verdict(rec.ID); has {
				fol.settleOne(ver)
			}
		}
	}
}

func sortedKeys(byTick map[uint64]*proposal) []uint64 {
	out := make([]uint64, 0, len(byTick))
	for tic := range byTick {
		out = append(out, tic)
	}
	slices.Sort(out)
	return out
}
