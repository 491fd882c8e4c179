package entry

import (
	"github.com/sirupsen/logrus"

	"kumquathinge/core/site"
	"kumquathinge/platform"
)

// configurer publishes the operators' configuration. Versions never go back.
type configurer struct {
	sta     *state
	log     *logrus.Logger
	met     *meter
	changed func()
}

func (cfr *configurer) apply(chg change) {
	for _, rec := range chg.records {
		if rec.Key != platform.KeyConfig || len(rec.Value) == 0 {
			continue
		}
		cfr.take(rec)
	}
}

func (cfr *configurer) take(rec site.Record) {
	ent := cfr.log.WithFields(logrus.Fields{"event": "configuration", "offset": rec.Offset})
	cfg, err := platform.DecodeConfig(rec.Value)
	if err != nil {
		ent.WithField("error", err).Error("configuration can't be read; the one in force stays")
		return
	}
	old := cfr.sta.table.Load()
	if old != nil && old.Version() >= cfg.Version {
		ent.WithFields(logrus.Fields{"version": cfg.Version, "in_force": old.Version()}).Warn("older configuration is not taken")
		return
	}
	cfr.sta.table.Store(site.NewTable(cfg))
	cfr.met.configVersion.Set(float64(cfg.Version))
	ent.WithFields(logrus.Fields{
		"version": cfg.Version, "routes": len(cfg.Routes), "services": len(cfg.Services), "organisations": len(cfg.Orgs),
	}).Info("configuration in force")
	cfr.changed()
}
