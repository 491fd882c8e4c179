package once

import (
	"io"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/lines"
)

// ReplayLine is one line of a replay file. The first line has Request, the last
// Want, and each line between them an Event. At counts from the issue time.
type ReplayLine struct {
	At      lines.Duration `json:"at"`
	Request *ReplayRequest `json:"given,omitempty"`
	Event   *Event         `json:"event,omitempty"`
	Want    *Outcome       `json:"want,omitempty"`
}

// ReplayRequest is the configuration of a replayed request. The IDs of its
// claims are "r.1", "r.2" and so on.
type ReplayRequest struct {
	Digest       uint64         `json:"digest"`
	Window       lines.Duration `json:"window"`
	MaxClockSkew lines.Duration `json:"clock_error"`
	Deadline     lines.Duration `json:"deadline"`
}

// Outcome is the result of a request. Unknowns is the number of results that
// were recorded with an unknown outcome.
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

// Replay runs a machine on the events of a replay file, which has one
// ReplayLine in JSON on each line. It returns the resulting outcome and the one
// that the file states. The error carries core.CodeRecordBad if the file is not
// a valid replay.
func Replay(src io.Reader) (got, want Outcome, err error) {
	start := time.Unix(0, 0)
	var sm *Machine
	err = lines.Each(src, func(rec ReplayLine) (bool, error) {
		switch {
		case rec.Request != nil:
			sm = New(rec.Request.config(start))
		case sm == nil:
			return false, core.Errorf(core.CodeRecordBad, "replay does not start with the request's configuration")
		case rec.Event != nil:
			got.record(sm.Step(*rec.Event, start.Add(time.Duration(rec.At))))
		case rec.Want != nil:
			want = *rec.Want
			return false, nil
		}
		return true, nil
	})
	return got, want, err
}

func (req ReplayRequest) config(start time.Time) Config {
	return Config{
		IDPrefix:     "r",
		Digest:       req.Digest,
		IssuedAt:     start,
		Window:       time.Duration(req.Window),
		MaxClockSkew: time.Duration(req.MaxClockSkew),
		Deadline:     start.Add(time.Duration(req.Deadline)),
	}
}

func (out *Outcome) record(acts []Action) {
	for _, act := range acts {
		switch act.Kind {
		case ActionDispatch:
			out.Dispatches++
		case ActionDeliver:
			out.Answers++
		case ActionRecordResult:
			out.Records++
			if act.OutcomeUnknown {
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
