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
	// contextBefore is the time before the request's first line from which on other
	// lines are told: what went wrong earlier shows in the servers' state.
	contextBefore = 3 * time.Second
	// contextAfter is the time after the request's last line.
	contextAfter = 500 * time.Millisecond
	// maxLineSize is the longest line in bytes.
	maxLineSize = 1 << 20
)

// Line is one line of a log.
type Line struct {
	timestamp time.Time
	fields    map[string]string
	text      string
}

// Time returns the time of the line.
func (line Line) Time() time.Time { return line.timestamp }

// Text returns the line as it was written.
func (line Line) Text() string { return line.text }

// Read reads the lines of a log. What stands before the first "time=" of a line
// and lines without a time are passed over.
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
	return out, eris.Wrap(scanner.Err(), "reading a log")
}

// parseLine reads one line. It reports false if the line has no time.
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

// serverEvents are the events that tell what a node believed about a server or a
// group, or of what it depends on.
var serverEvents = []string{
	"server", "server_gone", "server_lost", "server_slow", "server_found", "server_blamed", "group_suspect", "order",
}

// localEvents are the events that each node logs for itself: those of the nodes
// that had the request are told.
var localEvents = []string{"server", "server_gone"}

// nodeEvents are the events that concern all requests of a node.
var nodeEvents = []string{
	"start", "stopping", "stop", "reload", "configuration", "dependency_lost", "dependency_regained",
}

// Trace returns the lines that tell what became of the request with the ID, in
// the order of time. It returns none if no line names the request.
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
	byTime := func(one, two Line) int { return one.timestamp.Compare(two.timestamp) }
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
	return slices.CompactFunc(out, func(one, two Line) bool { return one.text == two.text })
}

// collectSubjects returns the servers and groups that lines name.
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

// concerns reports whether a line tells a belief about one of the subjects.
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
