package entry

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// nodeMetrics holds the counters and histograms of a node.
type nodeMetrics struct {
	set           *metrics.Set
	probes        *metrics.Counter
	peerErrors    *metrics.Counter
	logDropped    *metrics.Counter
	servers       *metrics.Gauge
	configVersion *metrics.Gauge
}

func newNodeMetrics() *nodeMetrics {
	set := metrics.NewSet()
	meter := &nodeMetrics{
		set:           set,
		probes:        set.NewCounter("kumquathinge_probes_total"),
		peerErrors:    set.NewCounter("kumquathinge_peer_errors_total"),
		logDropped:    set.NewCounter("kumquathinge_log_lines_dropped_total"),
		servers:       set.NewGauge("kumquathinge_servers", nil),
		configVersion: set.NewGauge("kumquathinge_configuration_version", nil),
	}
	set.NewGauge("kumquathinge_heap_bytes", func() float64 {
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		return float64(mem.HeapAlloc)
	})
	return meter
}

// recordRequest counts the end of a request by route kind and status, and its time.
func (meter *nodeMetrics) recordRequest(kind string, status int, seconds float64) {
	meter.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_requests_total{kind=%q,status=\"%d\"}", kind, status)).Inc()
	meter.set.GetOrCreateHistogram(fmt.Sprintf("kumquathinge_request_seconds{kind=%q}", kind)).Update(seconds)
}

// Calls to the store. A read that follows a topic is held back by the store
// until something changes, so its time tells nothing of the store.
const (
	storeFollow = "follow"
	storeNewest = "newest"
	storeAppend = "append"
)

// recordStoreCall counts a call to the store that began at the time, and how long it
// took.
func (meter *nodeMetrics) recordStoreCall(call string, began time.Time, err error) {
	meter.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_store_calls_total{call=%q,ok=\"%t\"}", call, err == nil)).Inc()
	meter.set.GetOrCreateHistogram(fmt.Sprintf("kumquathinge_store_call_seconds{call=%q}", call)).Update(time.Since(began).Seconds())
}

// recordFirstEvent notes the time from the arrival of a streamed request to its first
// event: its wait at entry and server, and the time to read its prompt.
func (meter *nodeMetrics) recordFirstEvent(service string, took time.Duration) {
	meter.set.GetOrCreateHistogram(fmt.Sprintf("kumquathinge_first_event_seconds{service=%q}", service)).Update(took.Seconds())
}

// recordGroupDowntime notes the time from the loss of a member, as the orderer found it, until
// its group serves again.
func (meter *nodeMetrics) recordGroupDowntime(model string, took time.Duration) {
	meter.set.GetOrCreateHistogram(fmt.Sprintf("kumquathinge_group_down_seconds{model=%q}", model)).Update(took.Seconds())
}

// recordAttempt counts an attempt at a service by its outcome.
func (meter *nodeMetrics) recordAttempt(service string, out outcome) {
	meter.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_attempts_total{service=%q,outcome=%q}", service, out)).Inc()
}

// recordOrder counts an order by its kind and result.
func (meter *nodeMetrics) recordOrder(kind, result string) {
	meter.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_orders_total{kind=%q,result=%q}", kind, result)).Inc()
}

// write writes all metrics as text.
func (meter *nodeMetrics) write(writer io.Writer) { meter.set.WritePrometheus(writer) }
