package wire

import (
	"bufio"
	"regexp"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// maxInterim is the number of interim responses before a final one.
const maxInterim = 8

// Bounds of the status codes of final responses.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// statusLine matches the begin of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// joined reports whether a header goes on with that of another response: the server sent
// only the begin of the first one.
func joined(hdr *fasthttp.ResponseHeader) bool {
	if statusLine.Match(hdr.StatusMessage()) {
		return true
	}
	for name, val := range hdr.All() {
		if statusLine.Match(name) || statusLine.Match(val) {
			return true
		}
	}
	return false
}

// awaitFinal reads the interim responses before a final one and waits for the header of
// that one. It returns an error if a response has an invalid field name or no valid status
// code: the codec takes status 000 for 200.
func awaitFinal(reader *bufio.Reader) error {
	for range maxInterim {
		status, err := peekStatus(reader)
		switch {
		case err != nil:
			return err
		case status >= minFinalStatus && status <= maxFinalStatus:
			return checkFieldNames(reader)
		case status < fasthttp.StatusContinue || status >= minFinalStatus || status == fasthttp.StatusSwitchingProtocols:
			return eris.Errorf("response with the invalid status code %03d", status)
		}
		var interim fasthttp.ResponseHeader
		err = checkFieldNames(reader)
		if err == nil {
			err = interim.Read(reader)
		}
		if err != nil {
			return err
		}
	}
	return eris.New("too many interim responses")
}

// peekStatus returns the status code of the next response without reading it. Line breaks
// before the response are dropped.
func peekStatus(reader *bufio.Reader) (int, error) {
	const begin = "HTTP/1."
	for {
		next, err := reader.Peek(1)
		if err != nil {
			return 0, err
		}
		if next[0] != '\r' && next[0] != '\n' {
			break
		}
		_, err = reader.Discard(1)
		if err != nil {
			return 0, err
		}
	}
	line, err := reader.Peek(len("HTTP/1.1 200"))
	if err != nil {
		return 0, err
	}
	if string(line[:len(begin)]) != begin || line[len(begin)+1] != ' ' {
		return 0, eris.Errorf("response with the invalid status line %q", line)
	}
	status := 0
	for _, digit := range line[len(begin)+2:] {
		if digit < '0' || digit > '9' {
			return 0, eris.Errorf("response with the invalid status line %q", line)
		}
		status = 10*status + int(digit-'0')
	}
	return status, nil
}
