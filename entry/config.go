package entry

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/site"
	"kumquathinge/platform"
)

// replacesConfig reports whether a record of the operators' topic takes the place
// of the known one. Versions only rise, so what a store that came back from an older
// copy has lost stays in force until a newer version is read, or the same one with
// another content.
func replacesConfig(old, rec site.Record) bool {
	if rec.Key != platform.KeyConfig {
		return rec.Offset > old.Offset
	}
	version, err := platform.ConfigVersion(rec.Value)
	if err != nil {
		return false
	}
	known, err := platform.ConfigVersion(old.Value)
	if err != nil || version != known {
		return err != nil || version > known
	}
	return rec.Offset > old.Offset && !bytes.Equal(rec.Value, old.Value)
}

// configApplier publishes the operators' configuration. It ignores a version
// that is older than the current one.
type configApplier struct {
	state    *sharedState
	log      *logrus.Logger
	metrics  *nodeMetrics
	onChange func()
}

func (applier *configApplier) apply(change topicChange) {
	for _, rec := range change.Records() {
		if rec.Key != platform.KeyConfig || len(rec.Value) == 0 {
			continue
		}
		applier.applyRecord(rec)
	}
}

func (applier *configApplier) applyRecord(rec site.Record) {
	logEntry := applier.log.WithFields(logrus.Fields{"event": "configuration", "offset": rec.Offset})
	cfg, err := platform.DecodeConfig(rec.Value)
	if err != nil {
		logEntry.WithField("error", err).Error("cannot decode configuration; keeping the current one")
		return
	}
	old := applier.state.table.Load()
	if old != nil && old.Version() > cfg.Version {
		logEntry.WithFields(logrus.Fields{"version": cfg.Version, "in_force": old.Version()}).Warn("ignoring a configuration that is older than the current one")
		return
	}
	table := site.NewTable(cfg)
	applier.state.table.Store(table)
	applier.metrics.configVersion.Set(float64(cfg.Version))
	logEntry.WithFields(logrus.Fields{
		"version": cfg.Version, "routes": len(cfg.Routes), "services": len(cfg.Services), "organisations": len(cfg.Orgs), "urgencies": urgenciesText(table),
	}).Info("configuration applied")
	applier.onChange()
}

// urgenciesText returns the urgencies of the services whose callers compete, for logs.
func urgenciesText(table *site.Table) string {
	var out []string
	for _, svc := range table.Config().Services {
		if levels := table.Levels(svc.Name); levels != nil {
			out = append(out, fmt.Sprint(svc.Name, " ", levels))
		}
	}
	return strings.Join(out, "; ")
}
