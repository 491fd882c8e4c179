package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/site"
)

// maxGroupOutage is the time after which an outage is no longer tracked: the
// servers of the group have joined other groups by then.
const maxGroupOutage = time.Minute

// groupOutage is the outage of a group that lost a member.
type groupOutage struct {
	epoch int64
	model string
	since time.Time
}

// beginOutage starts the outage of the group of a lost server, unless one is in
// progress.
func (ord *orderer) beginOutage(srv *site.Server, now time.Time) {
	if _, known := ord.outages[srv.Group.Name]; srv.Group.State != site.GroupNone && !known {
		ord.outages[srv.Group.Name] = groupOutage{epoch: srv.Group.Epoch, model: srv.Model, since: now}
	}
}

// endOutages records the duration of the outages of groups that serve again.
func (ord *orderer) endOutages(view *site.View, now time.Time) {
	if len(ord.outages) == 0 {
		return
	}
	for _, grp := range view.Groups() {
		outage, ok := ord.outages[grp.Name]
		if !ok || !grp.Serving() || grp.Epoch <= outage.epoch {
			continue
		}
		delete(ord.outages, grp.Name)
		took := now.Sub(outage.since)
		ord.metrics.recordGroupDowntime(outage.model, took)
		ord.log.WithFields(logrus.Fields{"event": "group_back", "group": grp.Name, "epoch": grp.Epoch, "model": outage.model, "down": took}).Info("group is serving again")
	}
	for name, outage := range ord.outages {
		if now.Sub(outage.since) > maxGroupOutage {
			delete(ord.outages, name)
		}
	}
}
