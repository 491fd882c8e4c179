package lines

import (
	"encoding/json"
	"errors"
	"io"
	"time"

	"kumquathinge/core"
)

// Span is a time.Duration that is written in JSON as text, such as "50ms".
type Span time.Duration

// MarshalText returns the text of the duration.
func (spa Span) MarshalText() ([]byte, error) {
	return []byte(time.Duration(spa).String()), nil
}

// UnmarshalText reads the text of a duration.
func (spa *Span) UnmarshalText(txt []byte) error {
	dur, err := time.ParseDuration(string(txt))
	if err != nil {
		return err
	}
	*spa = Span(dur)
	return nil
}

// Each calls fun with each record of the file, in order, until fun returns
// false or an error. Its error carries core.CodeRecordBad if a line is not an R
// or the file ends while fun wants more.
func Each[R any](rdr io.Reader, fun func(rec R) (bool, error)) error {
	dec := json.NewDecoder(rdr)
	dec.DisallowUnknownFields()
	for {
		var rec R
		err := dec.Decode(&rec)
		if errors.Is(err, io.EOF) {
			return core.Errorf(core.CodeRecordBad, "replay ends without an outcome")
		}
		if err != nil {
			return core.Errorf(core.CodeRecordBad, "replay: %v", err)
		}
		more, err := fun(rec)
		if err != nil || !more {
			return err
		}
	}
}
