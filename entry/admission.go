package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
	"kumquathinge/core/admit"
	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

const (
	// outputSmoothing is the weight of a new sample in the mean ratio of the
	// generated tokens to the requested maximum.
	outputSmoothing = 0.02
	// initialOutputRatio is this ratio before a stream has ended.
	initialOutputRatio = 0.5
)

// modelAdmission divides the groups of one model between organisations.
type modelAdmission struct {
	shares *admit.Shares
	// outputRatio is the mean ratio of the generated tokens to the maximum that
	// the requests allow, over outputSamples streams.
	outputRatio   float64
	outputSamples int
	// pressed is set if the last log line on the pressure of urgent requests said that
	// it begins.
	pressed          bool
	pressureLoggedAt time.Time
}

// admission returns the admission of a model. The caller holds the mutex.
func (loads *loadTracker) admission(model string) *modelAdmission {
	adm := loads.admissions[model]
	if adm == nil {
		adm = &modelAdmission{shares: admit.NewShares(), outputRatio: initialOutputRatio}
		adm.shares.SetNode(loads.node)
		loads.admissions[model] = adm
	}
	return adm
}

// offer counts a request of an organisation and reports whether the
// organisation's share of the model's groups admits it, and the fraction of its
// requests that is admitted.
func (loads *loadTracker) offer(call *call, now time.Time) (bool, float64) {
	model := engineModel(call)
	if model == nil {
		return true, 1
	}
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	adm := loads.admission(call.model)
	cls := call.class()
	busy := groupTime(call.service.Engine, call, model, adm.outputRatio)
	loads.cold.recordGroupTime(call, busy)
	return adm.shares.OfferClass(cls, busy, now), adm.shares.RatioOf(cls)
}

// engineModel returns the model of a call to model servers, or nil.
func engineModel(call *call) *site.Model {
	if call.service.Engine == nil {
		return nil
	}
	for idx := range call.service.Engine.Models {
		if model := &call.service.Engine.Models[idx]; model.Name == call.model {
			return model
		}
	}
	return nil
}

// groupTime returns how long a request keeps a group busy: the time for its
// prompt, and its part of the steps that a full batch makes for its output.
func groupTime(engine *site.Engine, call *call, model *site.Model, outputRatio float64) time.Duration {
	slots := max(1, engine.Slots)
	step := engine.StepTime + time.Duration(slots)*engine.StepTimePerSequence
	out := time.Duration(outputRatio * float64(call.maxOutputTokens) * float64(step) / float64(slots))
	prompt := time.Duration(0)
	if engine.PromptTokensPerSec > 0 {
		prompt = time.Duration(float64(call.promptTokens) / engine.PromptTokensPerSec * float64(time.Second))
	}
	factor := model.TimeFactor
	if factor <= 0 {
		factor = 1
	}
	return time.Duration(factor * float64(prompt+out))
}

// recordOutput records the number of events of a stream that ended.
func (loads *loadTracker) recordOutput(call *call, events int) {
	if call.service.Engine == nil || call.maxOutputTokens == 0 {
		return
	}
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	adm := loads.admission(call.model)
	ratio := float64(events*call.service.Engine.TokensPerEvent) / float64(call.maxOutputTokens)
	adm.outputSamples++
	adm.outputRatio += max(outputSmoothing, 1/float64(1+adm.outputSamples)) * (min(ratio, 1) - adm.outputRatio)
}

// demands returns the demand of this node's callers by model and organisation, for the
// models without levels.
func (loads *loadTracker) demands(now time.Time) map[string]map[core.OrgName]float64 {
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	out := map[string]map[core.OrgName]float64{}
	for model, adm := range loads.admissions {
		if adm.shares.HasLevels() {
			continue
		}
		if demand := adm.shares.Demand(now); len(demand) > 0 {
			out[model] = demand
		}
	}
	return out
}

// updateDemands replaces the demands that a peer reported.
func (loads *loadTracker) updateDemands(node string, demands map[string]map[core.OrgName]float64, reports levelDemands, expiresAt time.Time) {
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	for model := range demands {
		loads.admission(model)
	}
	for model := range reports {
		loads.admission(model)
	}
	for model, adm := range loads.admissions {
		if levels, ok := reports[model]; ok {
			adm.shares.UpdatePeerLevels(node, levels, expiresAt)
			continue
		}
		adm.shares.UpdatePeer(node, demands[model], expiresAt)
	}
}

// rebalance updates the organisations' shares of each model for the groups that
// serve.
func (loads *loadTracker) rebalance(table *site.Table, view *site.View, now time.Time) {
	if table == nil {
		return
	}
	for _, svc := range table.Config().Services {
		if svc.Engine == nil {
			continue
		}
		for _, model := range svc.Engine.Models {
			heads := view.ServingHeads(svc.Name, model.Name)
			loads.mtx.Lock()
			loads.setLevels(model.Name, table.Levels(svc.Name))
			loads.admission(model.Name).shares.Rebalance(totalFraction(loads.balancer, heads, now), meanUtilisation(loads.balancer, heads, svc.Engine.Slots, now), now)
			loads.mtx.Unlock()
		}
	}
}

// totalFraction returns the capacity of the heads, in groups that take all that is
// published of them at the usual speed.
func totalFraction(balancer *share.Balancer, heads []*site.Server, now time.Time) float64 {
	sum := 0.0
	for _, head := range heads {
		sum += balancer.Fraction(head, now) * balancer.Speed(head)
	}
	return sum
}

// meanUtilisation returns the mean number of requests at the heads as a fraction
// of a batch, and 1 if there are no heads.
func meanUtilisation(balancer *share.Balancer, heads []*site.Server, slots int, now time.Time) float64 {
	if len(heads) == 0 {
		return 1
	}
	sum := 0
	for _, head := range heads {
		sum += balancer.Load(head.ID, now).Running
	}
	return float64(sum) / float64(len(heads)*max(1, slots))
}

// checkShare rejects a call whose organisation uses more than its share of an
// overloaded model.
func (front *frontend) checkShare(call *call) error {
	admitted, ratio := front.forwarder.loads.offer(call, call.startedAt)
	front.metrics.recordAdmission(call, admitted)
	if admitted {
		return nil
	}
	fields := logrus.Fields{"event": "share_exceeded", "request": call.id, "organisation": call.org, "model": call.model, "admitted_ratio": ratio}
	front.log.WithFields(call.withUrgency(fields)).Info("the model is overloaded and the organisation exceeds its share")
	return &notRunError{cause: core.Errorf(core.CodeOrgLimit, "the model is overloaded; %.0f%% of the organisation's requests are admitted", 100*ratio), reason: "share exceeded", overShare: ratio < heavyOverload, retryAfter: front.forwarder.loads.retryAfter(call, call.startedAt)}
}

// heavyOverload is the admitted ratio below which an early return of a rejected
// caller would be rejected again.
const heavyOverload = 0.5
