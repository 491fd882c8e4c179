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

// Line is one line of a replay file of a Follower. The first line has Given,
// the last Want, and those between one event each. Read answers the read of
// the log that the follower asked for last, Relay the read from a peer, State
// the question for a peer's state, and Append the append; a code other than
// zero is that of the error. Propose is a proposal with the line's number as
// its ticket.
type Line struct {
	At      lines.Span   `json:"at"`
	Given   *Given       `json:"given,omitempty"`
	Tick    bool         `json:"tick,omitempty"`
	Read    *LinePage    `json:"read,omitempty"`
	Relay   *LinePage    `json:"relay,omitempty"`
	State   *core.Code   `json:"state,omitempty"`
	Append  *core.Code   `json:"append,omitempty"`
	Propose []LineRecord `json:"propose,omitempty"`
	GiveUp  uint64       `json:"give_up,omitempty"`
	Want    *Outcome     `json:"want,omitempty"`
}

// Given describes a replayed follower: the number of its peers, and the rules
// that its program knows.
type Given struct {
	Peers int    `json:"peers"`
	Rules uint16 `json:"rules"`
}

// LinePage is a page of the log. Its entries have the offsets from From on,
// and At as their time.
type LinePage struct {
	First   core.Offset    `json:"first"`
	Next    core.Offset    `json:"next"`
	From    core.Offset    `json:"from"`
	Entries [][]LineRecord `json:"entries,omitempty"`
	Code    core.Code      `json:"code,omitempty"`
}

// LineRecord is a record as a replay file writes it: the value of a setting is
// JSON.
type LineRecord struct {
	ID      core.RecordID `json:"id"`
	By      string        `json:"by"`
	Set     *LineSetting  `json:"set,omitempty"`
	Assign  *recd.Assign  `json:"assign,omitempty"`
	Retire  *recd.Retire  `json:"retire,omitempty"`
	Unload  *recd.Unload  `json:"unload,omitempty"`
	Claim   *recd.Claim   `json:"claim,omitempty"`
	Release *recd.Release `json:"release,omitempty"`
	Rule    *recd.Rule    `json:"rule,omitempty"`
}

// LineSetting is recd.Setting as a replay file writes it.
type LineSetting struct {
	Path  string          `json:"path"`
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	Base  core.Offset     `json:"base"`
}

// Outcome is what a follower came to. Settings has the settings of the root
// that are not defaults, Holders the group of each VM that is held. Answers
// has, for each proposal by its line, the code of each record's verdict or of
// the error. Appends counts the appends.
type Outcome struct {
	Offset   core.Offset                    `json:"offset"`
	Ready    bool                           `json:"ready"`
	Code     core.Code                      `json:"code"`
	Settings map[string]string              `json:"settings,omitempty"`
	Holders  map[core.VMName]core.GroupName `json:"holders,omitempty"`
	Answers  map[string][]core.Code         `json:"answers,omitempty"`
	Appends  int                            `json:"appends,omitempty"`
}

// Replay feeds a Follower with the events of a replay file. It returns what the
// follower came to and what the file states. Its error carries
// core.CodeRecordBad if the file is not a replay.
func Replay(rdr io.Reader) (got, want Outcome, err error) {
	rep := replay{answers: map[string][]core.Code{}}
	err = lines.Each(rdr, func(lin Line) (bool, error) {
		rep.line++
		switch {
		case lin.Given != nil:
			rep.begin(*lin.Given)
		case rep.fol == nil:
			return false, core.Errorf(core.CodeRecordBad, "replay does not begin with what is given")
		case lin.Want != nil:
			want = *lin.Want
			return false, nil
		default:
			rep.step(lin)
		}
		return true, nil
	})
	if err != nil {
		return got, want, err
	}
	return rep.outcome(), want, nil
}

var replayStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type replay struct {
	fol     *Follower
	tick    Tick
	line    uint64
	batch   core.RecordID
	appends int
	answers map[string][]core.Code
}

func (rep *replay) begin(giv Given) {
	rep.fol = NewFollower(Config{
		Node: "n1", Run: "1", Timings: DefaultTimings(), Program: fold.Versions{Record: recd.Version, Rule: giv.Rules},
	})
	rep.tick = Tick{Peers: giv.Peers, Nodes: []core.NodeName{"n1"}}
}

func (rep *replay) step(lin Line) {
	now := replayStart.Add(time.Duration(lin.At))
	for _, act := range rep.fol.Step(rep.event(lin, now), now) {
		switch typ := act.(type) {
		case Append:
			rep.batch = typ.Batch
			rep.appends++
		case Answer:
			rep.answers[fmt.Sprint(typ.Ticket)] = codes(typ)
		}
	}
}

func codes(ans Answer) []core.Code {
	if ans.Err != nil {
		return []core.Code{core.CodeOf(ans.Err)}
	}
	var out []core.Code
	for _, ver := range ans.Verdicts {
		out = append(out, ver.Code)
	}
	return out
}

func (rep *replay) event(lin Line, now time.Time) Event {
	switch {
	case lin.Read != nil:
		pag, err := lin.Read.page(now)
		return LogRead{Sent: now, Page: pag, Err: err}
	case lin.Relay != nil:
		pag, err := lin.Relay.page(now)
		return PeerRead{Page: pag, Err: err}
	case lin.State != nil:
		return StateRead{Err: errOf(*lin.State)}
	case lin.Append != nil:
		return Appended{Batch: rep.batch, Err: errOf(*lin.Append)}
	case lin.Propose != nil:
		return Proposed{Ticket: rep.line, Records: records(lin.Propose)}
	case lin.GiveUp != 0:
		return GivenUp{Ticket: lin.GiveUp}
	}
	return rep.tick
}

func errOf(cod core.Code) error {
	if cod == core.CodeOK {
		return nil
	}
	return core.Errorf(cod, "replayed")
}

func (pag LinePage) page(now time.Time) (core.Page, error) {
	out := core.Page{First: pag.First, Next: pag.Next}
	for idx, recs := range pag.Entries {
		out.Entries = append(out.Entries, core.Entry{
			Offset: pag.From + core.Offset(idx), At: now,
			Data: recd.Encode(recd.Batch{Version: recd.Version, Records: records(recs)}),
		})
	}
	return out, errOf(pag.Code)
}

func records(lns []LineRecord) []recd.Record {
	out := make([]recd.Record, 0, len(lns))
	for _, lin := range lns {
		rec := recd.Record{
			ID: lin.ID, By: lin.By, Assign: lin.Assign, Retire: lin.Retire, Unload: lin.Unload,
			Claim: lin.Claim, Release: lin.Release, Rule: lin.Rule,
		}
		if set := lin.Set; set != nil {
			rec.Setting = &recd.Setting{Path: set.Path, Key: set.Key, Value: set.Value, Base: set.Base}
		}
		out = append(out, rec)
	}
	return out
}

func (rep *replay) outcome() Outcome {
	sts, sta := rep.fol.Status(), rep.fol.State()
	out := Outcome{
		Offset: sts.Offset, Ready: sts.Ready, Code: sts.Code, Appends: rep.appends,
		Settings: map[string]string{}, Holders: map[core.VMName]core.GroupName{}, Answers: rep.answers,
	}
	for _, val := range sta.Tree().OwnValues(tree.Root) {
		out.Settings[val.Key] = string(val.Raw)
	}
	for _, hld := range sta.Holds() {
		out.Holders[hld.VM] = hld.Group
	}
	return out
}
