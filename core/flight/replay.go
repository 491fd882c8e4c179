package flight

import (
	"io"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/lines"
)

// ReplayLine is one line of a replay file. The first line has Limits, the last
// Want, and each line between them an Event. At, and the deadline in Limits,
// count from the start of the request.
type ReplayLine struct {
	At     lines.Duration `json:"at"`
	Limits *ReplayLimits  `json:"limits,omitempty"`
	Event  *Event         `json:"event,omitempty"`
	Want   *Outcome       `json:"want,omitempty"`
}

// ReplayLimits are the limits of a replayed request.
type ReplayLimits struct {
	MaxAttempts  int            `json:"attempts"`
	Retry        RetryPolicy    `json:"repeat"`
	Deadline     lines.Duration `json:"deadline"`
	StartPos     int            `json:"from,omitempty"`
	AllowForward bool           `json:"forward,omitempty"`
	Streaming    bool           `json:"stream,omitempty"`
}

// Outcome is the result of a request. Text is the concatenated text of all
// delivered parts, and Cancels the number of cancelled attempts.
type Outcome struct {
	Done       bool      `json:"done"`
	Code       core.Code `json:"code"`
	Dispatches int       `json:"dispatches"`
	Text       string    `json:"text,omitempty"`
	Cancels    int       `json:"cancels,omitempty"`
}

// Replay runs a machine on the events of a replay file, which has one
// ReplayLine in JSON on each line. It returns the resulting outcome and the
// one that the file states. The attempt IDs are "r.1", "r.2" and so on. The
// error carries core.CodeRecordBad if the file is not a valid replay.
func Replay(src io.Reader) (got, want Outcome, err error) {
	start := time.Unix(0, 0)
	var sm *Machine
	err = lines.Each(src, func(rec ReplayLine) (bool, error) {
		switch {
		case rec.Limits != nil && rec.Limits.MaxAttempts <= 0:
			return false, core.Errorf(core.CodeRecordBad, "replay limits allow no attempt")
		case rec.Limits != nil:
			sm = New("r", rec.Limits.toLimits(start))
		case sm == nil:
			return false, core.Errorf(core.CodeRecordBad, "replay does not start with limits")
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
