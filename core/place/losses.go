package place

import "time"

const (
	// lossWindow is the time over which losses are counted. It is about the
	// duration of a load, for which a spare stands in.
	lossWindow = 20 * time.Second
	// priorLosses is the number of losses assumed for a window in which none has
	// been seen.
	priorLosses = 8.0
	// maxLossesPerBurst limits the losses that one domain adds within
	// lossBurstTime. No spare helps against the loss of a whole domain.
	maxLossesPerBurst = 2
	lossBurstTime     = time.Second
)

// loss is the loss of servers of a domain.
type loss struct {
	domain string
	at     time.Time
	count  int
}

// lossHistory estimates the rate at which servers are lost.
type lossHistory struct {
	recent []loss
}

// record counts the loss of one server of a domain.
func (hist *lossHistory) record(domain string, now time.Time) {
	for idx := range hist.recent {
		if prev := &hist.recent[idx]; prev.domain == domain && now.Sub(prev.at) < lossBurstTime {
			prev.count = min(prev.count+1, maxLossesPerBurst)
			return
		}
	}
	hist.recent = append(hist.recent, loss{domain: domain, at: now, count: 1})
}

// perServer returns the expected number of losses of one server of the given
// number within a window.
func (hist *lossHistory) perServer(now time.Time, servers int) float64 {
	return max(hist.count(now), priorLosses) / float64(max(1, servers))
}

// count returns the number of losses within lossWindow.
func (hist *lossHistory) count(now time.Time) float64 {
	for len(hist.recent) > 0 && now.Sub(hist.recent[0].at) > lossWindow {
		hist.recent = hist.recent[1:]
	}
	num := 0.0
	for _, one := range hist.recent {
		num += float64(one.count)
	}
	return num
}
