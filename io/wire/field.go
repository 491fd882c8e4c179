package wire

import (
	"bufio"
	"bytes"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// checkFieldNames waits for the header of the next response and returns an error if one of
// its field names is not a token directly followed by a colon (RFC 9112, section 5). It
// consumes nothing. The codec accepts blanks in a field name and after it, and joins a line
// that begins with one to the value of the line before.
func checkFieldNames(reader *bufio.Reader) error {
	checked := 0
	for {
		raw, err := reader.Peek(reader.Buffered())
		if err != nil {
			return err
		}
		line, _, complete := bytes.Cut(raw[checked:], []byte("\n"))
		if !complete {
			_, err = reader.Peek(len(raw) + 1)
			if err != nil {
				return eris.Wrap(err, "reading the header of a response")
			}
			continue
		}
		isStatusLine := checked == 0
		checked += len(line) + 1
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case isStatusLine:
		case len(line) == 0:
			return nil
		case !validField(line):
			return eris.Errorf("response with the invalid header line %.80q", line)
		}
	}
}

// validField reports whether a header line begins with a valid field name and a colon.
func validField(line []byte) bool {
	name, _, ok := bytes.Cut(line, []byte(":"))
	return ok && httpguts.ValidHeaderFieldName(string(name))
}
