package story

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
)

const (
	// contextBefore is how long before the request's first line other lines are
	// included. Earlier faults show in the state of the servers by then.
	contextBefore = 3 * time.Second
	// contextAfter is how long after the request's last line other lines are
	// included.
	contextAfter = 500 * time.Millisecond
	// maxLineSize is the length limit of a log line in bytes.
	maxLineSize = 1 << 20
)

// Line is one parsed line of a log.
type Line struct {
	timestamp time.Time
	fields    map[string]string
	text      string
}

// Time returns the timestamp of the line.
func (line Line) Time() time.Time { return line.timestamp }

// Text returns the line as it was logged, from its timestamp on.
func (line Line) Text() string { return line.text }

// Read parses a log. Text before the first "time=" of a line is cut off, and
// lines without a timestamp are skipped. A line longer than maxLineSize is an
// error.
func Read(src io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(src)
	scanner.Buffer(nil, maxLineSize)
	var out []Line
	for scanner.Scan() {
		raw := scanner.Bytes()
		pos := bytes.Index(raw, []byte("time="))
		if pos < 0 {
			continue
		}
		line, ok := parseLine(raw[pos:])
		if ok {
			out = append(out, line)
		}
	}
	return out, eris.Wrap(scanner.Err(), "reading log")
}

// parseLine parses one line in logfmt format. It returns false if the line has
// no valid timestamp.
func parseLine(raw []byte) (Line, bool) {
	line := Line{fields: map[string]string{}, text: string(raw)}
	dec := logfmt.NewDecoder(bytes.NewReader(raw))
	for dec.ScanRecord() {
		for dec.ScanKeyval() {
			line.fields[string(dec.Key())] = string(dec.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, line.fields["time"])
	line.timestamp = at
	return line, err == nil
}

// serverEvents are the events that report the state of a server or a group as
// one node sees it, and the orders sent to servers.
var serverEvents = []string{
	"server", "server_gone", "server_lost", "server_slow", "server_found", "server_blamed", "group_suspect", "order",
}

// localEvents are the server events that every node logs on its own. Only those
// of nodes that handled the request are selected.
var localEvents = []string{"server", "server_gone"}

// nodeEvents are the events that affect all requests of a node.
var nodeEvents = []string{
	"start", "stopping", "stop", "reload", "configuration", "dependency_lost", "dependency_regained",
}

// Trace returns the lines that show how the request with the ID was handled, in
// order of time. It returns nil if no line names the request.
func Trace(lines []Line, id string) []Line {
	var own []Line
	for _, line := range lines {
		if line.fields["request"] == id {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.timestamp.Compare(b.timestamp) }
	slices.SortStableFunc(own, byTime)
	subjects, nodes := collectSubjects(own), map[string]bool{}
	for _, line := range own {
		nodes[line.fields["node"]] = true
	}
	from, to := own[0].timestamp.Add(-contextBefore), own[len(own)-1].timestamp.Add(contextAfter)
	out := slices.Clone(own)
	for _, line := range lines {
		event := line.fields["event"]
		switch {
		case line.fields["request"] == id || line.timestamp.Before(from) || line.timestamp.After(to):
		case (slices.Contains(nodeEvents, event) || slices.Contains(localEvents, event)) && !nodes[line.fields["node"]]:
		case slices.Contains(nodeEvents, event) || concerns(line, subjects):
			out = append(out, line)
		}
	}
	slices.SortStableFunc(out, byTime)
	return slices.CompactFunc(out, func(a, b Line) bool { return a.text == b.text })
}

// collectSubjects returns the servers and groups that the lines name.
func collectSubjects(lines []Line) map[string]bool {
	out := map[string]bool{}
	for _, line := range lines {
		for _, name := range []string{"server", "before", "group"} {
			if val := line.fields[name]; val != "" {
				out[val] = true
			}
		}
	}
	return out
}

// concerns reports whether the line has a server event about one of the
// subjects.
func concerns(line Line, subjects map[string]bool) bool {
	if !slices.Contains(serverEvents, line.fields["event"]) {
		return false
	}
	if subjects[line.fields["server"]] || subjects[line.fields["group"]] || subjects[line.fields["head"]] {
		return true
	}
	for _, id := range strings.Fields(strings.Trim(line.fields["members"], "[]")) {
		if subjects[id] {
			return true
		}
	}
	return false
}
