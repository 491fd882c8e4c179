package repair

import (
	"slices"
	"time"

	"kumquathinge/core"
)

const (
	maxAbsences = 64

	// observedWeight is the weight of an observed absence, relative to one of
	// priorAbsences.
	observedWeight = 3

	// defaultLoadTime is the assumed load time of a model until a load has been
	// observed.
	defaultLoadTime = 2 * time.Minute

	// loadTimeSmoothing is the weight of the newest load time in the
	// exponential moving average.
	loadTimeSmoothing = 0.3
)

// absenceRecord is a completed absence of a VM. sameProcess states that the VM
// returned with the same process.
type absenceRecord struct {
	duration    time.Duration
	sameProcess bool
}

// priorAbsences are assumed absences that supplement the observed ones. Their
// durations are fractions of Settings.ReturnTimeout.
var priorAbsences = []struct {
	fraction    float64
	sameProcess bool
}{
	{0.1, true}, {0.25, true}, {0.5, true}, {1, true}, {1, true},
	{0.75, false}, {4, false}, {12, false},
}

// vmHistory holds the last maxAbsences absences and the mean load times
// that a Controller has observed.
type vmHistory struct {
	absences        []absenceRecord
	next            int
	loadTimeByModel map[core.ModelName]time.Duration
}

func newVMHistory() *vmHistory {
	return &vmHistory{loadTimeByModel: make(map[core.ModelName]time.Duration)}
}

func (hist *vmHistory) recordAbsence(duration time.Duration, sameProcess bool) {
	absence := absenceRecord{duration: duration, sameProcess: sameProcess}
	if len(hist.absences) < maxAbsences {
		hist.absences = append(hist.absences, absence)
		return
	}
	hist.absences[hist.next] = absence
	hist.next = (hist.next + 1) % maxAbsences
}

func (hist *vmHistory) recordLoadTime(model core.ModelName, loadTime time.Duration) {
	mean, ok := hist.loadTimeByModel[model]
	if !ok {
		hist.loadTimeByModel[model] = loadTime
		return
	}
	hist.loadTimeByModel[model] = mean + time.Duration(loadTimeSmoothing*float64(loadTime-mean))
}

// loadTime returns the expected time to load the model.
func (hist *vmHistory) loadTime(model core.ModelName) time.Duration {
	loadTime, ok := hist.loadTimeByModel[model]
	if !ok {
		return defaultLoadTime
	}
	return loadTime
}

// absencesLongerThan returns the observed and the assumed absences that lasted
// longer than minDuration, shortest first.
func (hist *vmHistory) absencesLongerThan(minDuration, returnTimeout time.Duration) []absenceRecord {
	var out []absenceRecord
	for _, prior := range priorAbsences {
		out = append(out, absenceRecord{duration: time.Duration(prior.fraction * float64(returnTimeout)), sameProcess: prior.sameProcess})
	}
	for range observedWeight {
		out = append(out, hist.absences...)
	}
	out = slices.DeleteFunc(out, func(absence absenceRecord) bool { return absence.duration <= minDuration })
	slices.SortFunc(out, func(lhs, rhs absenceRecord) int { return int(lhs.duration - rhs.duration) })
	return out
}
