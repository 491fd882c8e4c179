package entry

import (
	"github.com/sirupsen/logrus"

	"kumquathinge/core/site"
	"kumquathinge/platform"
)

// configApplier publishes the operators' configuration. Versions never go back.
type configApplier struct {
	state    *sharedState
	log      *logrus.Logger
	metrics  *nodeMetrics
	onChange func()
}

func (configurer *configApplier) apply(change topicChange) {
	for _, rec := range change.records {
		if rec.Key != platform.KeyConfig || len(rec.Value) == 0 {
			continue
		}
		configurer.applyRecord(rec)
	}
}

func (configurer *configApplier) applyRecord(rec site.Record) {
	logEntry := configurer.log.WithFields(logrus.Fields{"event": "configuration", "offset": rec.Offset})
	cfg, err := platform.DecodeConfig(rec.Value)
	if err != nil {
		logEntry.WithField("error", err).Error("configuration can't be read; the one in force stays")
		return
	}
	old := configurer.state.table.Load()
	if old != nil && old.Version() >= cfg.Version {
		logEntry.WithFields(logrus.Fields{"version": cfg.Version, "in_force": old.Version()}).Warn("older configuration is not taken")
		return
	}
	configurer.state.table.Store(site.NewTable(cfg))
	configurer.metrics.configVersion.Set(float64(cfg.Version))
	logEntry.WithFields(logrus.Fields{
		"version": cfg.Version, "routes": len(cfg.Routes), "services": len(cfg.Services), "organisations": len(cfg.Orgs),
	}).Info("configuration in force")
	configurer.onChange()
}
