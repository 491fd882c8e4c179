package entry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
	"kumquathinge/core/admit"
	"kumquathinge/core/site"
	"kumquathinge/platform"
)

const (
	// maxLevelReportSize is the size in a heartbeat of the organisations of all models
	// with levels, in bytes. It is a quarter of a datagram.
	maxLevelReportSize = 8 << 10
	// pressureLogInterval is the least time between two log lines on the pressure on a
	// model.
	pressureLogInterval = 5 * time.Second
)

// levelDemands is the demand of a node's callers by model and urgency.
type levelDemands map[string][]admit.LevelReport

// setUrgency sets the effective urgency of the call and the levels of its service.
func (call *call) setUrgency() {
	call.urgency = call.table.Urgency(call.route, call.org)
	call.levels = call.table.Levels(call.service.Name)
}

// class returns the class of the call in admission control. Without levels all calls
// have the same urgency.
func (call *call) class() admit.Class {
	cls := admit.Class{Org: core.OrgName(call.org)}
	if call.levels != nil {
		cls.Urgency = call.urgency
	}
	return cls
}

// setUrgencyHeader states the urgency in a request to a model server, where levels are
// in use.
func (call *call) setUrgencyHeader() {
	if call.levels != nil && call.service.Engine != nil {
		call.request.Header.Set(platform.HeaderUrgency, strconv.Itoa(call.urgency))
	}
}

// withUrgency adds the urgency to the fields of a log line, where levels are in use.
func (call *call) withUrgency(fields logrus.Fields) logrus.Fields {
	if call.levels != nil {
		fields["urgency"] = call.urgency
	}
	return fields
}

// levelledModel returns the model of a call to model servers with levels, or nil.
func levelledModel(call *call) *site.Model {
	if call.levels == nil {
		return nil
	}
	return engineModel(call)
}

// setLevels sets the levels of a model. The caller holds the mutex.
func (loads *loadTracker) setLevels(model string, levels []int) {
	loads.admission(model).shares.SetLevels(levels)
}

// levelDemands returns the demand of this node's callers for the models with levels.
func (loads *loadTracker) levelDemands(now time.Time) levelDemands {
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	models := map[string]*admit.Shares{}
	for model, adm := range loads.admissions {
		if adm.shares.HasLevels() {
			models[model] = adm.shares
		}
	}
	out := levelDemands{}
	for model, shr := range models {
		out[model] = shr.Report(maxLevelReportSize/len(models), now)
	}
	return out
}

// reserve returns how many slots of a batch a call leaves to more urgent ones.
func (loads *loadTracker) reserve(call *call, now time.Time) int {
	model := levelledModel(call)
	if model == nil {
		return 0
	}
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	return loads.admission(model.Name).shares.Reserve(call.urgency, call.service.Engine.Slots, now)
}

// retryAfter returns after what time a refused caller should return, zero for the default.
func (loads *loadTracker) retryAfter(call *call, now time.Time) time.Duration {
	model := levelledModel(call)
	if model == nil {
		return 0
	}
	loads.mtx.Lock()
	adm := loads.admission(model.Name)
	chance, ratio := adm.shares.Chance(call.class()), adm.outputRatio
	loads.mtx.Unlock()
	from, to := admit.RetryWindow(chance, call.timeLeft(now), serviceTime(call, model, ratio))
	return from + rand.N(max(1, to-from))
}

// serviceTime returns how long a request takes at a group with a full batch.
func serviceTime(call *call, model *site.Model, outputRatio float64) time.Duration {
	prompt := *call.service.Engine
	prompt.StepTime, prompt.StepTimePerSequence = 0, 0
	slots := time.Duration(max(1, prompt.Slots))
	whole := groupTime(call.service.Engine, call, model, outputRatio)
	reading := groupTime(&prompt, call, model, outputRatio)
	return reading + slots*(whole-reading)
}

// recordFirstEvent records whether the stream of a call began after its target.
func (loads *loadTracker) recordFirstEvent(call *call, now time.Time) {
	if target := call.route.TargetLatency; target > 0 && call.firstEventDelay > target {
		loads.recordUrgency(call, now, (*admit.Shares).RecordLate)
	}
}

// recordEnd records a call that found no server, or whose stream did not begin before
// its deadline. Calls that the shares refused are recorded already.
func (loads *loadTracker) recordEnd(call *call, err error, now time.Time) {
	var notRun *notRunError
	switch code := core.CodeOf(err); {
	case errors.As(err, &notRun) && (code == core.CodeQueueFull || code == core.CodeNoGroup || code == core.CodeRefused):
		loads.recordUrgency(call, now, (*admit.Shares).RecordRefused)
	case code == core.CodeDeadline && call.firstEventDelay == 0:
		loads.recordUrgency(call, now, (*admit.Shares).RecordLate)
	}
}

// recordUrgency records a call in the shares of its model, where levels are in use.
func (loads *loadTracker) recordUrgency(call *call, now time.Time, record func(*admit.Shares, int, time.Duration, time.Time)) {
	model := levelledModel(call)
	if model == nil || call.viaPeer {
		return
	}
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	adm := loads.admission(model.Name)
	record(adm.shares, call.urgency, groupTime(call.service.Engine, call, model, adm.outputRatio), now)
}

// modelDemand returns the demand of the callers of all nodes for a model.
func (loads *loadTracker) modelDemand(model string, now time.Time) site.ModelDemand {
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	return loads.admission(model).shares.ModelDemand(now)
}

// pressureChange is the begin or end of the pressure of urgent requests on a model.
type pressureChange struct {
	model  string
	begins bool
}

// pressureChanges returns the changes since the last call, at most one in
// pressureLogInterval for each model.
func (loads *loadTracker) pressureChanges(now time.Time) []pressureChange {
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	var out []pressureChange
	for model, adm := range loads.admissions {
		pressed := adm.shares.UnderPressure(now)
		if pressed == adm.pressed || now.Sub(adm.pressureLoggedAt) < pressureLogInterval {
			continue
		}
		adm.pressed, adm.pressureLoggedAt = pressed, now
		out = append(out, pressureChange{model: model, begins: pressed})
	}
	return out
}

// logPressure logs where urgent requests begin and cease to be refused or late.
func (peers *peers) logPressure(now time.Time) {
	for _, change := range peers.loads.pressureChanges(now) {
		logEntry := peers.log.WithFields(logrus.Fields{"event": "urgent_pressure", "model": change.model, "begins": change.begins, "demand": demandText(peers.loads.modelDemand(change.model, now))})
		if change.begins {
			logEntry.Info("urgent requests are refused or late; less urgent ones leave slots to them")
		} else {
			logEntry.Info("urgent requests are no longer refused or late")
		}
	}
}

// demandText returns the demand of each urgency for logs, in groups.
func demandText(demand site.ModelDemand) string {
	levels := make([]string, 0, len(demand.Levels))
	for _, lvl := range demand.Levels {
		levels = append(levels, fmt.Sprintf("%d: %.1f asked, %.1f refused", lvl.Urgency, lvl.Asked, lvl.Refused))
	}
	return strings.Join(levels, "; ")
}

// recordAdmission counts a call to a model with levels by urgency and by whether it was
// admitted.
func (meter *nodeMetrics) recordAdmission(call *call, admitted bool) {
	model := levelledModel(call)
	if model == nil {
		return
	}
	meter.admissions.with(admissionLabels{model: model.Name, urgency: call.urgency, admitted: admitted}).Inc()
}
