package entry

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// labelled caches the metrics of one name by the values of their labels, so that these
// are formatted and looked up in the set only once. It is safe for concurrent use.
type labelled[Labels comparable, Metric any] struct {
	cached sync.Map
	// create returns the metric with the labels, the same one each time.
	create func(Labels) Metric
}

// with returns the metric with the labels.
func (lab *labelled[Labels, Metric]) with(labels Labels) Metric {
	if metric, ok := lab.cached.Load(labels); ok {
		return metric.(Metric)
	}
	metric := lab.create(labels)
	lab.cached.Store(labels, metric)
	return metric
}

// requestLabels are the labels of a finished request.
type requestLabels struct {
	kind   string
	status int
}

// admissionLabels are the labels of a decision of admission control.
type admissionLabels struct {
	model    string
	urgency  int
	admitted bool
}

// attemptLabels are the labels of an attempt.
type attemptLabels struct {
	service string
	outcome outcome
}

// demandLabels are the labels of the demand for a model.
type demandLabels struct {
	model   string
	urgency int
}

// demandGauges are the gauges of the demand for a model by urgency.
type demandGauges struct{ asked, refused *metrics.Gauge }

// capacityGauges are the gauges of the estimates of a model or service.
type capacityGauges struct{ limited, slow, fraction *metrics.Gauge }

// setLabelled sets how the metrics with labels are created.
func (meter *nodeMetrics) setLabelled() {
	meter.requests.create = func(labels requestLabels) *metrics.Counter {
		return meter.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_requests_total{kind=%q,status=\"%d\"}", labels.kind, labels.status))
	}
	meter.requestSeconds.create = func(kind string) *metrics.Histogram {
		return meter.set.GetOrCreateHistogram(fmt.Sprintf("kumquathinge_request_seconds{kind=%q}", kind))
	}
	meter.firstEvents.create = func(service string) *metrics.Histogram {
		return meter.set.GetOrCreateHistogram(fmt.Sprintf("kumquathinge_first_event_seconds{service=%q}", service))
	}
	meter.attempts.create = func(labels attemptLabels) *metrics.Counter {
		return meter.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_attempts_total{service=%q,outcome=%q}", labels.service, labels.outcome))
	}
	meter.admissions.create = func(labels admissionLabels) *metrics.Counter {
		result := "refused"
		if labels.admitted {
			result = "admitted"
		}
		return meter.set.GetOrCreateCounter(fmt.Sprintf("kumquathinge_admission_total{model=%q,urgency=\"%d\",result=%q}", labels.model, labels.urgency, result))
	}
	meter.demands.create = func(labels demandLabels) demandGauges {
		suffix := fmt.Sprintf("{model=%q,urgency=\"%d\"}", labels.model, labels.urgency)
		return demandGauges{asked: meter.set.GetOrCreateGauge("kumquathinge_demand_asked_groups"+suffix, nil), refused: meter.set.GetOrCreateGauge("kumquathinge_demand_refused_groups"+suffix, nil)}
	}
	meter.capacities.create = func(class string) capacityGauges {
		gauge := func(name string) *metrics.Gauge {
			return meter.set.GetOrCreateGauge(fmt.Sprintf("kumquathinge_%s{class=%q}", name, class), nil)
		}
		return capacityGauges{limited: gauge("servers_below_published"), slow: gauge("servers_slow"), fraction: gauge("capacity_fraction")}
	}
}
