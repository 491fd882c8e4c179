package flight

import (
	"io"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/lines"
)

// ReplayLine is one line of a replay file. The first line has Limits, the last
// Want, and those between an Event. At counts from the start of the request,
// and so does the deadline of the limits.
type ReplayLine struct {
	At     lines.Span    `json:"at"`
	Limits *ReplayLimits `json:"limits,omitempty"`
	Event  *Event        `json:"event,omitempty"`
	Want   *Outcome      `json:"want,omitempty"`
}

// ReplayLimits holds the limits of a replayed request.
type ReplayLimits struct {
	MaxAttempts  int         `json:"attempts"`
	Retry        RetryPolicy `json:"repeat"`
	Deadline     lines.Span  `json:"deadline"`
	StartPos     int         `json:"from,omitempty"`
	AllowForward bool        `json:"forward,omitempty"`
	Streaming    bool        `json:"stream,omitempty"`
}

// Outcome is what a request came to. Text is all that was passed on.
type Outcome struct {
	Done       bool      `json:"done"`
	Code       core.Code `json:"code"`
	Dispatches int       `json:"dispatches"`
	Text       string    `json:"text,omitempty"`
	Cancels    int       `json:"cancels,omitempty"`
}

// Replay feeds a machine with the events of a replay file, which has one
// Record in JSON on each line. It returns what the request came to and what
// the file states. The attempts' IDs are "r.1", "r.2" and so on. Its error
// carries core.CodeRecordBad if the file is not a replay.
func Replay(src io.Reader) (got, want Outcome, err error) {
	start := time.Unix(0, 0)
	var sm *Machine
	err = lines.Each(src, func(rec ReplayLine) (bool, error) {
		switch {
		case rec.Limits != nil && rec.Limits.MaxAttempts <= 0:
			return false, core.Errorf(core.CodeRecordBad, "replay allows no attempt")
		case rec.Limits != nil:
			sm = New("r", rec.Limits.toLimits(start))
		case sm == nil:
			return false, core.Errorf(core.CodeRecordBad, "replay does not begin with limits")
		case rec.Event != nil:
			got.record(sm.Step(*rec.Event, start.Add(time.Duration(rec.At))))
			got.Dispatches = sm.Dispatches()
		case rec.Want != nil:
			want = *rec.Want
			return false, nil
		}
		return true, nil
	})
	return got, want, err
}

func (limits ReplayLimits) toLimits(start time.Time) Limits {
	return Limits{
		MaxAttempts:  limits.MaxAttempts,
		Retry:        limits.Retry,
		Deadline:     start.Add(time.Duration(limits.Deadline)),
		StartPos:     limits.StartPos,
		AllowForward: limits.AllowForward,
		Streaming:    limits.Streaming,
	}
}

func (out *Outcome) record(acts []Action) {
	for _, act := range acts {
		switch act.Kind {
		case ActionDeliver:
			out.Text += act.Part.Text
		case ActionCancel:
			out.Cancels++
		case ActionFinish:
			out.Done = true
			out.Code = act.Code
		}
	}
}
