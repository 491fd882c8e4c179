package tail

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/lines"
	"kumquathinge/core/recd"
	"kumquathinge/core/tree"
)

// ReplayLine is one line of a replay file of a Follower. The first line has
// Given, the last Want, and each line between them one event. Read is the
// result of the last ReadLog, Relay that of ReadPeer, State that of ReadState,
// and Append that of the last Append; a nonzero code is the code of the error.
// Propose is a proposal with the line's number as its ID.
type ReplayLine struct {
	At      lines.Duration `json:"at"`
	Given   *ReplaySetup   `json:"given,omitempty"`
	Tick    bool           `json:"tick,omitempty"`
	Read    *ReplayPage    `json:"read,omitempty"`
	Relay   *ReplayPage    `json:"relay,omitempty"`
	State   *core.Code     `json:"state,omitempty"`
	Append  *core.Code     `json:"append,omitempty"`
	Propose []ReplayRecord `json:"propose,omitempty"`
	GiveUp  uint64         `json:"give_up,omitempty"`
	Want    *Outcome       `json:"want,omitempty"`
}

// ReplaySetup describes a replayed follower: the number of its peers and the
// newest rule that its program supports.
type ReplaySetup struct {
	Peers int    `json:"peers"`
	Rules uint16 `json:"rules"`
}

// ReplayPage is a page of the log. Its entries have consecutive offsets
// starting at From and the line's time.
type ReplayPage struct {
	First   core.Offset      `json:"first"`
	Next    core.Offset      `json:"next"`
	From    core.Offset      `json:"from"`
	Entries [][]ReplayRecord `json:"entries,omitempty"`
	Era     core.Era         `json:"era,omitempty"`
	Code    core.Code        `json:"code,omitempty"`
}

// ReplayRecord is a record in the form of a replay file, in which the value of
// a setting is JSON.
type ReplayRecord struct {
	ID      core.RecordID  `json:"id"`
	By      string         `json:"by"`
	Set     *ReplaySetting `json:"set,omitempty"`
	Assign  *recd.Assign   `json:"assign,omitempty"`
	Retire  *recd.Retire   `json:"retire,omitempty"`
	Unload  *recd.Unload   `json:"unload,omitempty"`
	Claim   *recd.Claim    `json:"claim,omitempty"`
	Release *recd.Release  `json:"release,omitempty"`
	Rule    *recd.Rule     `json:"rule,omitempty"`
}

// ReplaySetting is recd.Setting in the form of a replay file.
type ReplaySetting struct {
	Path  string          `json:"path"`
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	Base  core.Offset     `json:"base"`
}

// Outcome is the final state of a replayed follower. Settings has the settings
// of the root that are not defaults, Holders the group that holds each VM.
// Answers has, for each proposal by its line number, the code of each record's
// decision or that of the error. Appends is the number of appends.
type Outcome struct {
	Offset   core.Offset                    `json:"offset"`
	Ready    bool                           `json:"ready"`
	Code     core.Code                      `json:"code"`
	Settings map[string]string              `json:"settings,omitempty"`
	Holders  map[core.VMName]core.GroupName `json:"holders,omitempty"`
	Answers  map[string][]core.Code         `json:"answers,omitempty"`
	Appends  int                            `json:"appends,omitempty"`
}

// Replay replays the events of a replay file through a Follower. It returns
// the actual outcome and the one that the file states. Its error carries
// core.CodeRecordBad if the file is not a valid replay.
func Replay(src io.Reader) (got, want Outcome, err error) {
	rep := replayer{resultCodes: map[string][]core.Code{}}
	err = lines.Each(src, func(line ReplayLine) (bool, error) {
		rep.lineNumber++
		switch {
		case line.Given != nil:
			rep.begin(*line.Given)
		case rep.fol == nil:
			return false, core.Errorf(core.CodeRecordBad, "the first line of the replay does not have the field given")
		case line.Want != nil:
			want = *line.Want
			return false, nil
		default:
			rep.step(line)
		}
		return true, nil
	})
	if err != nil {
		return got, want, err
	}
	return rep.outcome(), want, nil
}

var replayStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type replayer struct {
	fol         *Follower
	tick        Tick
	lineNumber  uint64
	batch       core.RecordID
	appends     int
	resultCodes map[string][]core.Code
}

func (rep *replayer) begin(setup ReplaySetup) {
	rep.fol = NewFollower(Config{
		Node: "n1", Incarnation: "1", Timings: DefaultTimings(), Versions: fold.Versions{Record: recd.Version, Rule: setup.Rules},
	})
	rep.tick = Tick{PeerCount: setup.Peers, LiveNodes: []core.NodeName{"n1"}}
}

func (rep *replayer) step(line ReplayLine) {
	now := replayStart.Add(time.Duration(line.At))
	for _, act := range rep.fol.Step(rep.event(line, now), now) {
		switch typed := act.(type) {
		case Append:
			rep.batch = typed.BatchID
			rep.appends++
		case ProposalResult:
			rep.resultCodes[fmt.Sprint(typed.ProposalID)] = resultCodes(typed)
		}
	}
}

func resultCodes(result ProposalResult) []core.Code {
	if result.Err != nil {
		return []core.Code{core.CodeOf(result.Err)}
	}
	var out []core.Code
	for _, decision := range result.Decisions {
		out = append(out, decision.Code)
	}
	return out
}

func (rep *replayer) event(line ReplayLine, now time.Time) Event {
	switch {
	case line.Read != nil:
		page, err := line.Read.page(now)
		return LogRead{SentAt: now, Page: page, Err: err}
	case line.Relay != nil:
		page, err := line.Relay.page(now)
		return PeerRead{Page: page, Err: err}
	case line.State != nil:
		return StateRead{Err: errorOf(*line.State)}
	case line.Append != nil:
		return Appended{BatchID: rep.batch, Err: errorOf(*line.Append)}
	case line.Propose != nil:
		return Proposed{ProposalID: rep.lineNumber, Records: toRecords(line.Propose)}
	case line.GiveUp != 0:
		return Cancelled{ProposalID: line.GiveUp}
	}
	return rep.tick
}

func errorOf(code core.Code) error {
	if code == core.CodeOK {
		return nil
	}
	return core.Errorf(code, "replayed")
}

func (page ReplayPage) page(now time.Time) (core.Page, error) {
	out := core.Page{First: page.First, Next: page.Next, Era: page.Era}
	for idx, recs := range page.Entries {
		out.Entries = append(out.Entries, core.Entry{
			Offset: page.From + core.Offset(idx), At: now,
			Data: recd.Encode(recd.Batch{Version: recd.Version, Records: toRecords(recs)}),
		})
	}
	return out, errorOf(page.Code)
}

func toRecords(src []ReplayRecord) []recd.Record {
	out := make([]recd.Record, 0, len(src))
	for _, line := range src {
		rec := recd.Record{
			ID: line.ID, By: line.By, Assign: line.Assign, Retire: line.Retire, Unload: line.Unload,
			Claim: line.Claim, Release: line.Release, Rule: line.Rule,
		}
		if setting := line.Set; setting != nil {
			rec.Setting = &recd.Setting{Path: setting.Path, Key: setting.Key, Value: setting.Value, Base: setting.Base}
		}
		out = append(out, rec)
	}
	return out
}

func (rep *replayer) outcome() Outcome {
	status, state := rep.fol.Status(), rep.fol.State()
	out := Outcome{
		Offset: status.Offset, Ready: status.Ready, Code: status.Code, Appends: rep.appends,
		Settings: map[string]string{}, Holders: map[core.VMName]core.GroupName{}, Answers: rep.resultCodes,
	}
	for _, val := range state.Tree().OwnValues(tree.Root) {
		out.Settings[val.Key] = string(val.Raw)
	}
	for _, hold := range state.Holds() {
		out.Holders[hold.VM] = hold.Group
	}
	return out
}
