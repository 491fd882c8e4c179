package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/site"
)

// downBound is the time after which a group that doesn't serve is taken as
// given up: its servers serve others by then.
const downBound = time.Minute

// down is a group that lost a member.
type down struct {
	epoch int64
	model string
	since time.Time
}

// noteDown notes that a server is lost, and its group with it.
func (ord *orderer) noteDown(srv *site.Server, now time.Time) {
	if _, known := ord.downs[srv.Group.Name]; srv.Group.State != site.GroupNone && !known {
		ord.downs[srv.Group.Name] = down{epoch: srv.Group.Epoch, model: srv.Model, since: now}
	}
}

// noteBack measures how long the groups that serve again did not.
func (ord *orderer) noteBack(vie *site.View, now time.Time) {
	if len(ord.downs) == 0 {
		return
	}
	for _, grp := range vie.Groups() {
		dwn, ok := ord.downs[grp.Name]
		if !ok || !grp.Serving() || grp.Epoch <= dwn.epoch {
			continue
		}
		delete(ord.downs, grp.Name)
		took := now.Sub(dwn.since)
		ord.met.down(dwn.model, took)
		ord.log.WithFields(logrus.Fields{"event": "group_back", "group": grp.Name, "epoch": grp.Epoch, "model": dwn.model, "down": took}).Info("group serves again")
	}
	for nam, dwn := range ord.downs {
		if now.Sub(dwn.since) > downBound {
			delete(ord.downs, nam)
		}
	}
}
