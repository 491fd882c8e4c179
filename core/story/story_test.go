package story_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core/story"
)

const sampleLog = `  11.5 n1 time="2026-07-14T21:48:50.000Z" level=info msg="entry of a server changed" event=server server=i-1 group=g1 state=open
time="2026-07-14T21:48:40.000Z" level=info event=server server=i-1 group=g1 state=ready
not a log line
time="2026-07-14T21:48:51.000Z" level=info event=attempt request=r1 server=i-1 group=g1 load=3
time="2026-07-14T21:48:51.100Z" level=info event=attempt request=r2 server=i-2 group=g2
time="2026-07-14T21:48:51.500Z" level=warning event=group_suspect group=g1 head=i-1
time="2026-07-14T21:48:51.600Z" level=warning event=server_lost server=i-9 group=g1
time="2026-07-14T21:48:51.650Z" level=warning event=server_lost server=i-8 group=g8
time="2026-07-14T21:48:51.700Z" level=info event=order kind=join group=g7 members="[i-3 i-1]"
time="2026-07-14T21:48:52.000Z" level=info event=attempt_failed request=r1 server=i-1 again=true
time="2026-07-14T21:48:52.010Z" level=info event=dependency_lost dependency=store
time="2026-07-14T21:48:52.500Z" level=info event=request request=r1 status=200
time="2026-07-14T21:48:59.000Z" level=info event=server_lost server=i-1 group=g1
`

// traceEvents returns the events of the lines that Trace selects for a request.
func traceEvents(t *testing.T, id string) string {
	t.Helper()
	lines, err := story.Read(strings.NewReader(sampleLog))
	assert.NilError(t, err)
	var out []string
	for _, line := range story.Trace(lines, id) {
		_, rest, _ := strings.Cut(line.Text(), "event=")
		event, _, _ := strings.Cut(rest, " ")
		out = append(out, event)
	}
	return strings.Join(out, " ")
}

func TestTrace(t *testing.T) {
	assert.Equal(t, traceEvents(t, "r1"), "server attempt group_suspect server_lost order attempt_failed dependency_lost request")
	assert.Equal(t, traceEvents(t, "r2"), "attempt")
	assert.Equal(t, traceEvents(t, "unknown"), "")
}

func ExampleTrace() {
	lines, err := story.Read(strings.NewReader(`time="2026-07-14T21:48:51.000Z" event=request request=r1 status=503 error="no server"`))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, line := range story.Trace(lines, "r1") {
		fmt.Println(line.Time().Second(), line.Text())
	}
	// Output:
	// 51 time="2026-07-14T21:48:51.000Z" event=request request=r1 status=503 error="no server"
}
