package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/platform/platfk"
)

// metrics returns the metrics of a node that serves them on port 18084.
func (node *testNode) metrics(t *testing.T) string {
	t.Helper()
	res, err := http.Get("http://" + node.settings.IP + ":18084/metrics")
	assert.NilError(t, err)
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return string(raw)
}

// TestMetrics checks the metrics of a node whose only group loses its head.
func TestMetrics(t *testing.T) {
	rig := newTestCluster(t, 0, 1)
	rig.metricsPort = 18084
	node := rig.startNode()
	rig.waitReady()
	spare := platfk.NewServer(rig.store, platfk.ServerConfig{ID: "e9", Service: "engines", Zone: "z1", Domain: "d0", Events: eventCount})
	rig.engines = append(rig.engines, spare)
	rig.heads()[0].Freeze()
	for _, want := range []string{
		`kumquathinge_store_calls_total{call="append",ok="true"}`,
		`kumquathinge_store_call_seconds_count{call="newest"}`,
		`kumquathinge_first_event_seconds_count{service="engines"}`,
		`kumquathinge_requests_total{kind="idempotent",status="200"}`,
		`kumquathinge_attempts_total{service="engines",outcome="answered"}`,
		`kumquathinge_orders_total{kind="join",result="begun"}`,
		`kumquathinge_group_down_seconds_count{model="` + model + `"}`,
	} {
		rig.waitFor(want, func() bool {
			if strings.Contains(node.metrics(t), want) {
				return true
			}
			rig.post(node, "/stream/x", nil)
			return false
		})
	}
}
