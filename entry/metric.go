package entry

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kumquathinge/core/learn"
	"kumquathinge/core/quota"
)

// nodeMetrics holds the metrics of a node.
type nodeMetrics struct {
	set        *metrics.Set
	probes     *metrics.Counter
	peerErrors *metrics.Counter
	// panics counts the unexpected errors that ended a request, a datagram or a
	// step of a task.
	panics     *metrics.Counter
	logDropped *metrics.Counter
	// callerConnErrors counts the connections of callers that ended with an error.
	callerConnErrors *metrics.Counter
	// callerConnsClosed counts the unused connections of callers that were closed for others.
	callerConnsClosed *metrics.Counter
	// serverPauses counts the pauses that servers asked for, serversLeaving the servers
	// that said in an answer that they leave.
	serverPauses, serversLeaving *metrics.Counter
	// reachProbes counts the connections that probe whether servers are within reach,
	// lostServices are the services whose servers are not.
	reachProbes  *metrics.Counter
	lostServices *metrics.Gauge
	// skippedResponses counts the responses to other requests on kept connections.
	skippedResponses *metrics.Counter
	// coldHeldBack counts the requests for which no server was found because of cold
	// ones, coldRefused those that were decided anew right before they were sent.
	coldHeldBack, coldRefused *metrics.Counter
	coldServers               *metrics.Gauge

	servers       *metrics.Gauge
	configVersion *metrics.Gauge

	requests       labelled[requestLabels, *metrics.Counter]
	requestSeconds labelled[string, *metrics.Histogram]
	firstEvents    labelled[string, *metrics.Histogram]
	attempts       labelled[attemptLabels, *metrics.Counter]
	admissions     labelled[admissionLabels, *metrics.Counter]
	demands        labelled[demandLabels, demandGauges]
	capacities     labelled[string, capacityGauges]
}

func newNodeMetrics() *nodeMetrics {
	set := metrics.NewSet()
	meter := &nodeMetrics{
		set:               set,
		probes:            set.NewCounter("kumquathinge_probes_total"),
		peerErrors:        set.NewCounter("kumquathinge_peer_errors_total"),
		panics:            set.NewCounter("kumquathinge_panics_total"),
		logDropped:        set.NewCounter("kumquathinge_log_lines_dropped_total"),
		callerConnErrors:  set.NewCounter("kumquathinge_caller_connection_errors_total"),
		callerConnsClosed: set.NewCounter("kumquathinge_caller_connections_closed_total"),
		serverPauses:      set.NewCounter("kumquathinge_server_pauses_total"),
		reachProbes:       set.NewCounter("kumquathinge_reach_probes_total"),
		lostServices:      set.NewGauge("kumquathinge_lost_services", nil),
		skippedResponses:  set.NewCounter("kumquathinge_skipped_responses_total"),
		serversLeaving:    set.NewCounter("kumquathinge_servers_leaving_total"),
		coldHeldBack:      set.NewCounter("kumquathinge_cold_held_back_total"),
		coldRefused:       set.NewCounter("kumquathinge_cold_redecided_total"),
		coldServers:       set.NewGauge("kumquathinge_cold_servers", nil),
		servers:           set.NewGauge("kumquathinge_servers", nil),
		configVersion:     set.NewGauge("kumquathinge_configuration_version", nil),
	}
	set.NewGauge("kumquathinge_heap_bytes", func() float64 {
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		return float64(mem.HeapAlloc)
	})
	meter.setLabelled()
	return meter
}

// observeQuota exposes the bytes that are held for callers and servers.
func (meter *nodeMetrics) observeQuota(qta *quota.Quota) {
	for name, value := range map[string]func() int64{
		"kumquathinge_held_bytes": qta.Used, "kumquathinge_held_bytes_peak": qta.Peak, "kumquathinge_held_bytes_limit": qta.Limit, "kumquathinge_held_refused_total": qta.Refused,
	} {
		meter.set.NewGauge(name, func() float64 { return float64(value()) })
	}
}

// recordRequest counts a finished request by route kind and status, and records
// its duration.
func (meter *nodeMetrics) recordRequest(kind string, status int, seconds float64) {
	meter.requests.with(requestLabels{kind: kind, status: status}).Inc()
	meter.requestSeconds.with(kind).Update(seconds)
}

// recordCrashChange counts a change of the suspicion of a part of prompts.
func (meter *nodeMetrics) recordCrashChange(kind string) {
	meter.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_prompt_parts_total{change=%q}", kind)).Inc()
}

// recordCrashRefusal counts a request that was refused because of a part.
func (meter *nodeMetrics) recordCrashRefusal(reason string) {
	meter.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_prompt_part_refusals_total{reason=%q}", reason)).Inc()
}

// recordServerLimit counts a change of the limit of a server.
func (meter *nodeMetrics) recordServerLimit(named bool) {
	meter.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_server_limits_total{named=\"%t\"}", named)).Inc()
}

// recordCapacity sets the estimates of a model or service.
func (meter *nodeMetrics) recordCapacity(sum *learn.ClassSummary) {
	gauges := meter.capacities.with(sum.Class)
	gauges.limited.Set(float64(sum.Limited))
	gauges.slow.Set(float64(sum.Slow))
	gauges.fraction.Set(sum.Fraction)
}

// Kinds of calls to the store. The store holds a storeFollow call until
// something changes, so its duration does not measure the speed of the store.
const (
	storeFollow = "follow"
	storeNewest = "newest"
	storeAppend = "append"
)

// recordStoreCall counts a call to the store and records its duration up to
// now.
func (meter *nodeMetrics) recordStoreCall(call string, sentAt time.Time, err error) {
	meter.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_store_calls_total{call=%q,ok=\"%t\"}", call, err == nil)).Inc()
	meter.set.GetOrCreateHistogram(fmt.Sprintf("kumquathinge_store_call_seconds{call=%q}", call)).Update(time.Since(sentAt).Seconds())
}

// recordFirstEvent records the time from the arrival of a streaming request to
// its first event. It includes queueing at the entry and at the server, and the
// processing of the prompt.
func (meter *nodeMetrics) recordFirstEvent(service string, took time.Duration) {
	meter.firstEvents.with(service).Update(took.Seconds())
}

// recordGroupDowntime records the time from the detection of a lost member by
// the orderer until its group serves again.
func (meter *nodeMetrics) recordGroupDowntime(model string, took time.Duration) {
	meter.set.GetOrCreateHistogram(fmt.Sprintf("kumquathinge_group_down_seconds{model=%q}", model)).Update(took.Seconds())
}

// recordAttempt counts an attempt by service and outcome.
func (meter *nodeMetrics) recordAttempt(service string, out outcome) {
	meter.attempts.with(attemptLabels{service: service, outcome: out}).Inc()
}

// recordPeerAttempt counts an attempt at a peer.
func (meter *nodeMetrics) recordPeerAttempt(out outcome) {
	meter.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_peer_attempts_total{outcome=%q}", out)).Inc()
}

// recordOrder counts an order by kind and result.
func (meter *nodeMetrics) recordOrder(kind, result string) {
	meter.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_orders_total{kind=%q,result=%q}", kind, result)).Inc()
}

// recordEvacuation records that the evacuation of a zone began or ended.
func (meter *nodeMetrics) recordEvacuation(zone string, evacuated bool) {
	value := 0.0
	if evacuated {
		value = 1
		meter.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_zone_evacuations_total{zone=%q}", zone)).Inc()
	}
	meter.set.GetOrCreateGauge(fmt.Sprintf("kumquathinge_zone_evacuated{zone=%q}", zone), nil).Set(value)
}

// recordEvacuatedRefusal counts a request that was rejected because all its servers are in
// evacuated zones.
func (meter *nodeMetrics) recordEvacuatedRefusal(service string) {
	meter.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_zone_evacuated_refusals_total{service=%q}", service)).Inc()
}

// write writes all metrics in the Prometheus text format.
func (meter *nodeMetrics) write(writer io.Writer) { meter.set.WritePrometheus(writer) }
