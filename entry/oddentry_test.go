package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// TestOddEntries guards against an entry of another writer among those of the servers
// that ends the process of a node, keeps it from following the others, or brings it
// to send requests to no server.
func TestOddEntries(t *testing.T) {
	rig := newTestCluster(t, 2, 1)
	rig.waitReady()
	entry := func(field, val string) string {
		fields := map[string]string{
			"service": `"plain"`, "address": `"127.0.0.1:9"`, "zone": `"z1"`, "slots": "8", "state": `"ready"`, "born": "1", "seq": "1",
		}
		fields[field] = val
		var parts []string
		for name, val := range fields {
			parts = append(parts, fmt.Sprintf("%q: %s", name, val))
		}
		return "{" + strings.Join(parts, ", ") + "}"
	}
	const depth = 100_000
	deep := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	group := func(name, epoch, rank string) string {
		return entry("domain", `"d0", "service": "engines", "models": [{"name": "m"}], "group": {"name": "`+name+`", "epoch": `+epoch+`, "rank": `+rank+`, "state": "open"}`)
	}
	odd := []string{
		deep, strings.Repeat(`{"a":`, depth), entry("unknown", deep), entry("staged", deep), entry("models", deep), entry("group", deep),
		entry("slots", "1e400"), entry("slots", "9223372036854775807"), entry("slots", "99999999999999999999"), entry("slots", "-1"), entry("slots", "2.5"),
		entry("born", "1e300"), entry("born", "99999999999999999999"), entry("seq", "1e999"),
		entry("address", `"127.0.0.1:99999"`), entry("address", `"127.0.0.1:0"`), entry("address", `"127.0.0.1:-1"`), entry("address", `"127.0.0.1"`), entry("address", `":80"`),
		entry("address", `"127.0.0.1:80:80"`), entry("address", `"127.0.0.1:http\r\nx"`), entry("address", "7"), entry("state", "{}"), entry("service", "null"),
		group("odd", "1", "1e30"), group("odd", "99999999999999999999", "0"), group("odd", "-5", "0"), group("odd", "1", "1000000"), group("odd", "9223372036854775807", "0"),
	}
	for idx, raw := range odd {
		rig.store.Append(platform.TopicServers, fmt.Sprint("odd", idx), []byte(raw))
	}
	rig.store.Append(platform.TopicServers, "", []byte(entry("zone", `"z1"`)))
	rig.store.Append(platform.TopicServers, "odd\r\nX-Odd: 1", []byte(entry("zone", `"z1"`)))
	added := platfk.NewServer(rig.store, platfk.ServerConfig{ID: "p9", Service: "plain", Zone: "z1"})
	t.Cleanup(added.Close)
	rig.startNode()
	rig.waitFor("stream of the new node", func() bool { return rig.post(rig.nodes[2], "/stream/x", nil).status == http.StatusOK })
	for _, node := range rig.nodes {
		rig.waitFor("request to the added server", func() bool {
			before := len(added.Requests())
			rig.get(node, "/read/x", nil)
			return len(added.Requests()) > before
		})
		for num := range 20 {
			assert.Equal(t, rig.post(node, fmt.Sprint("/charge/", num), nil).status, http.StatusOK)
			assert.Equal(t, rig.post(node, fmt.Sprint("/stream/", num), nil).body, wantEvents(0))
		}
	}
}
