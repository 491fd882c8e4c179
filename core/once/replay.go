package once

import (
	"io"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/lines"
)

// Record is one line of a replay file. The first line has Given, the last
// Want, and those between an Event. At counts from the issue time.
type Record struct {
	At    lines.Span `json:"at"`
	Given *Given     `json:"given,omitempty"`
	Event *Event     `json:"event,omitempty"`
	Want  *Outcome   `json:"want,omitempty"`
}

// Given describes a replayed request. The IDs of its claims are "r.1", "r.2"
// and so on.
type Given struct {
	Digest     uint64     `json:"digest"`
	Window     lines.Span `json:"window"`
	ClockError lines.Span `json:"clock_error"`
	Deadline   lines.Span `json:"deadline"`
}

// Outcome is what a request came to.
type Outcome struct {
	Done       bool      `json:"done"`
	Code       core.Code `json:"code"`
	Dispatches int       `json:"dispatches"`
	Answers    int       `json:"answers,omitempty"`
	Records    int       `json:"records,omitempty"`
	Unknowns   int       `json:"unknowns,omitempty"`
	Releases   int       `json:"releases,omitempty"`
	Abandons   int       `json:"abandons,omitempty"`
}

// Replay feeds a machine with the events of a replay file. It returns what the
// request came to and what the file states. Its error carries
// core.CodeRecordBad if the file is not a replay.
func Replay(rdr io.Reader) (got, want Outcome, err error) {
	start := time.Unix(0, 0)
	var mac *Machine
	err = lines.Each(rdr, func(rec Record) (bool, error) {
		switch {
		case rec.Given != nil:
			mac = New(rec.Given.config(start))
		case mac == nil:
			return false, core.Errorf(core.CodeRecordBad, "replay does not begin with what is given")
		case rec.Event != nil:
			got.apply(mac.Step(*rec.Event, start.Add(time.Duration(rec.At))))
		case rec.Want != nil:
			want = *rec.Want
			return false, nil
		}
		return true, nil
	})
	return got, want, err
}

func (giv Given) config(start time.Time) Config {
	return Config{
		Stem:       "r",
		Digest:     giv.Digest,
		Issued:     start,
		Window:     time.Duration(giv.Window),
		ClockError: time.Duration(giv.ClockError),
		Deadline:   start.Add(time.Duration(giv.Deadline)),
	}
}

func (out *Outcome) apply(acts []Action) {
	for _, act := range acts {
		switch act.Kind {
		case ActionDispatch:
			out.Dispatches++
		case ActionAnswer:
			out.Answers++
		case ActionRecord:
			out.Records++
			if act.Unknown {
				out.Unknowns++
			}
		case ActionRelease:
			out.Releases++
		case ActionAbandon:
			out.Abandons++
		case ActionFinish:
			out.Done = true
			out.Code = act.Code
		}
	}
}
