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
	// before is the time before the request's first line from which on other
	// lines are told: what went wrong earlier shows in the servers' state.
	before = 3 * time.Second
	// after is the time after the request's last line.
	after = 500 * time.Millisecond
	// maxLine is the longest line in bytes.
	maxLine = 1 << 20
)

// Line is one line of a log.
type Line struct {
	at     time.Time
	fields map[string]string
	text   string
}

// At returns the time of the line.
func (lin Line) At() time.Time { return lin.at }

// Text returns the line as it was written.
func (lin Line) Text() string { return lin.text }

// Read reads the lines of a log. What stands before the first "time=" of a line
// and lines without a time are passed over.
func Read(rdr io.Reader) ([]Line, error) {
	scn := bufio.NewScanner(rdr)
	scn.Buffer(nil, maxLine)
	var out []Line
	for scn.Scan() {
		raw := scn.Bytes()
		pos := bytes.Index(raw, []byte("time="))
		if pos < 0 {
			continue
		}
		lin, ok := parse(raw[pos:])
		if ok {
			out = append(out, lin)
		}
	}
	return out, eris.Wrap(scn.Err(), "reading a log")
}

// parse reads one line. It reports false if the line has no time.
func parse(raw []byte) (Line, bool) {
	lin := Line{fields: map[string]string{}, text: string(raw)}
	dec := logfmt.NewDecoder(bytes.NewReader(raw))
	for dec.ScanRecord() {
		for dec.ScanKeyval() {
			lin.fields[string(dec.Key())] = string(dec.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, lin.fields["time"])
	lin.at = at
	return lin, err == nil
}

// beliefs are the events that tell what a node believed about a server or a
// group, or of what it depends on.
var beliefs = []string{
	"server", "server_gone", "server_lost", "server_slow", "server_found", "server_blamed", "group_suspect", "order",
}

// entries are the events that each node logs for itself: those of the nodes
// that had the request are told.
var entries = []string{"server", "server_gone"}

// nodewide are the events that concern all requests of a node.
var nodewide = []string{
	"start", "stopping", "stop", "reload", "configuration", "dependency_lost", "dependency_regained",
}

// Tell returns the lines that tell what became of the request with the ID, in
// the order of time. It returns none if no line names the request.
func Tell(lines []Line, id string) []Line {
	var own []Line
	for _, lin := range lines {
		if lin.fields["request"] == id {
			own = append(own, lin)
		}
	}
	if len(own) == 0 {
		return nil
	}
	byTime := func(one, two Line) int { return one.at.Compare(two.at) }
	slices.SortStableFunc(own, byTime)
	subjects, nodes := subjectsOf(own), map[string]bool{}
	for _, lin := range own {
		nodes[lin.fields["node"]] = true
	}
	from, to := own[0].at.Add(-before), own[len(own)-1].at.Add(after)
	out := slices.Clone(own)
	for _, lin := range lines {
		evt := lin.fields["event"]
		switch {
		case lin.fields["request"] == id || lin.at.Before(from) || lin.at.After(to):
		case (slices.Contains(nodewide, evt) || slices.Contains(entries, evt)) && !nodes[lin.fields["node"]]:
		case slices.Contains(nodewide, evt) || concerns(lin, subjects):
			out = append(out, lin)
		}
	}
	slices.SortStableFunc(out, byTime)
	return slices.CompactFunc(out, func(one, two Line) bool { return one.text == two.text })
}

// subjectsOf returns the servers and groups that lines name.
func subjectsOf(lines []Line) map[string]bool {
	out := map[string]bool{}
	for _, lin := range lines {
		for _, nam := range []string{"server", "before", "group"} {
			if val := lin.fields[nam]; val != "" {
				out[val] = true
			}
		}
	}
	return out
}

// concerns reports whether a line tells a belief about one of the subjects.
func concerns(lin Line, subjects map[string]bool) bool {
	if !slices.Contains(beliefs, lin.fields["event"]) {
		return false
	}
	if subjects[lin.fields["server"]] || subjects[lin.fields["group"]] || subjects[lin.fields["head"]] {
		return true
	}
	for _, id := range strings.Fields(strings.Trim(lin.fields["members"], "[]")) {
		if subjects[id] {
			return true
		}
	}
	return false
}
