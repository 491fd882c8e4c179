package flight

import (
	"io"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/lines"
)

// Record is one line of a replay file. The first line has Limits, the last
// Want, and those between an Event. At counts from the start of the request,
// and so does the deadline of the limits.
type Record struct {
	At     lines.Span `json:"at"`
	Limits *Given     `json:"limits,omitempty"`
	Event  *Event     `json:"event,omitempty"`
	Want   *Outcome   `json:"want,omitempty"`
}

// Given holds the limits of a replayed request.
type Given struct {
	Attempts int        `json:"attempts"`
	Repeat   Repeat     `json:"repeat"`
	Deadline lines.Span `json:"deadline"`
	From     int        `json:"from,omitempty"`
	Forward  bool       `json:"forward,omitempty"`
	Stream   bool       `json:"stream,omitempty"`
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
func Replay(rdr io.Reader) (got, want Outcome, err error) {
	start := time.Unix(0, 0)
	var mac *Machine
	err = lines.Each(rdr, func(rec Record) (bool, error) {
		switch {
		case rec.Limits != nil && rec.Limits.Attempts <= 0:
			return false, core.Errorf(core.CodeRecordBad, "replay allows no attempt")
		case rec.Limits != nil:
			mac = New("r", rec.Limits.limits(start))
		case mac == nil:
			return false, core.Errorf(core.CodeRecordBad, "replay does not begin with limits")
		case rec.Event != nil:
			got.apply(mac.Step(*rec.Event, start.Add(time.Duration(rec.At))))
			got.Dispatches = mac.Dispatches()
		case rec.Want != nil:
			want = *rec.Want
			return false, nil
		}
		return true, nil
	})
	return got, want, err
}

func (giv Given) limits(start time.Time) Limits {
	return Limits{
		Attempts: giv.Attempts,
		Repeat:   giv.Repeat,
		Deadline: start.Add(time.Duration(giv.Deadline)),
		From:     giv.From,
		Forward:  giv.Forward,
		Stream:   giv.Stream,
	}
}

func (out *Outcome) apply(acts []Action) {
	for _, act := range acts {
		switch act.Kind {
		case ActionPass:
			out.Text += act.Part.Text
		case ActionCancel:
			out.Cancels++
		case ActionFinish:
			out.Done = true
			out.Code = act.Code
		}
	}
}
