package lines

import (
	"encoding/json"
	"errors"
	"io"
	"time"

	"kumquathinge/core"
)

// Duration is a time.Duration that is encoded in JSON as text, such as "50ms".
type Duration time.Duration

// MarshalText returns the text of the duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses the text of a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	dur, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(dur)
	return nil
}

// Each calls fn for each record of the file, in order, until fn returns false
// or an error. Its error carries core.CodeRecordBad if a record does not
// decode as R, or if the file ends before fn returns false.
func Each[R any](src io.Reader, fn func(rec R) (bool, error)) error {
	dec := json.NewDecoder(src)
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
		more, err := fn(rec)
		if err != nil || !more {
			return err
		}
	}
}
