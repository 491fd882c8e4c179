package entry

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meter holds the counters and histograms of a node.
type meter struct {
	set           *metrics.Set
	probes        *metrics.Counter
	peerErrors    *metrics.Counter
	logDropped    *metrics.Counter
	servers       *metrics.Gauge
	configVersion *metrics.Gauge
}

func newMeter() *meter {
	set := metrics.NewSet()
	met := &meter{
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
	return met
}

// result counts the end of a request by route kind and status, and its time.
func (met *meter) result(kind string, status int, seconds float64) {
	met.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_requests_total{kind=%q,status=\"%d\"}", kind, status)).Inc()
	met.set.GetOrCreateHistogram(fmt.Sprintf("kumquathinge_request_seconds{kind=%q}", kind)).Update(seconds)
}

// Calls to the store. A read that follows a topic is held back by the store
// until something changes, so its time tells nothing of the store.
const (
	storeFollow = "follow"
	storeNewest = "newest"
	storeAppend = "append"
)

// store counts a call to the store that began at the time, and how long it
// took.
func (met *meter) store(call string, began time.Time, err error) {
	met.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_store_calls_total{call=%q,ok=\"%t\"}", call, err == nil)).Inc()
	met.set.GetOrCreateHistogram(fmt.Sprintf("kumquathinge_store_call_seconds{call=%q}", call)).Update(time.Since(began).Seconds())
}

// first notes the time from the arrival of a streamed request to its first
// event: its wait at entry and server, and the time to read its prompt.
func (met *meter) first(service string, took time.Duration) {
	met.set.GetOrCreateHistogram(fmt.Sprintf("kumquathinge_first_event_seconds{service=%q}", service)).Update(took.Seconds())
}

// down notes the time from the loss of a member, as the orderer found it, until
// its group serves again.
func (met *meter) down(model string, took time.Duration) {
	met.set.GetOrCreateHistogram(fmt.Sprintf("kumquathinge_group_down_seconds{model=%q}", model)).Update(took.Seconds())
}

// attempt counts an attempt at a service by its outcome.
func (met *meter) attempt(service string, out outcome) {
	met.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_attempts_total{service=%q,outcome=%q}", service, out)).Inc()
}

// order counts an order by its kind and result.
func (met *meter) order(kind, result string) {
	met.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_orders_total{kind=%q,result=%q}", kind, result)).Inc()
}

// write writes all metrics as text.
func (met *meter) write(wtr io.Writer) { met.set.WritePrometheus(wtr) }
