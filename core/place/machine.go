package place

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"kumquathinge/core/site"
)

// Bounds of orders.
const (
	// answerBound is the time after which an order without an effect in the
	// server's entry is sent again. It is several round trips and the time
	// that an entry takes through the store.
	answerBound = 700 * time.Millisecond
	// conflictPause is the wait after a refused order, so that the server's
	// entry can catch up.
	conflictPause = 150 * time.Millisecond
	// closeBound is the time that a closing group has to end its requests
	// before it is left; streams that are cut go on elsewhere.
	closeBound = 1500 * time.Millisecond
	// epochsPerTerm is the number of epochs that one term can give out.
	epochsPerTerm = 1 << 16
)

// Input is what the orderer knows at one moment.
type Input struct {
	Now time.Time
	// View holds the servers, Table the configuration.
	View  *site.View
	Table *site.Table
	// Lost reports whether a server that still has an entry doesn't answer.
	Lost func(id string) bool
	// Calm tells that traffic has not started, so that loads are cheap.
	Calm bool
}

// pending is an order whose effect is not yet in the server's entry.
type pending struct {
	ord  site.Order
	sent time.Time
	hold time.Duration
}

// stagingMark is a model that is being loaded onto a host.
type stagingMark struct {
	model string
	born  int64
	until time.Time
}

type groupKey struct {
	name  string
	epoch int64
}

// Machine plans the groups of a deployment during one term of its orderer.
type Machine struct {
	term    int64
	epochs  int64
	pend    map[string]*pending
	lists   map[groupKey][]string
	models  map[groupKey]string
	closing map[groupKey]time.Time
	staging map[string]stagingMark
	loads   *loadBudget
	names   int64
}

// New returns a Machine for the term. Terms grow with each change of the
// orderer.
func New(term int64) *Machine {
	return &Machine{
		term:    term,
		pend:    map[string]*pending{},
		lists:   map[groupKey][]string{},
		models:  map[groupKey]string{},
		closing: map[groupKey]time.Time{},
		staging: map[string]stagingMark{},
		loads:   &loadBudget{},
	}
}

// Term returns the term.
func (mac *Machine) Term() int64 { return mac.term }

// Step returns the orders to send now.
func (mac *Machine) Step(inp Input) []site.Order {
	if inp.Table == nil {
		return nil
	}
	mac.settle(inp)
	stp := newStep(mac, inp)
	for _, svc := range inp.Table.Config().Services {
		if svc.Engine == nil {
			continue
		}
		stp.service(&svc)
	}
	return stp.orders
}

// Answer tells how a server answered an order.
func (mac *Machine) Answer(ord site.Order, res site.OrderResult, now time.Time) {
	pnd := mac.pend[ord.Server]
	if pnd == nil || pnd.ord.Kind != ord.Kind || pnd.ord.Epoch != ord.Epoch || pnd.ord.Group != ord.Group {
		return
	}
	switch res {
	case site.OrderDone:
		// The state held before, so the entry shows it soon or already.
		pnd.sent = now
		pnd.hold = conflictPause
	case site.OrderBegun, site.OrderUnknown:
	default:
		pnd.sent = now
		pnd.hold = conflictPause
	}
}

// Pending returns the IDs of the servers whose orders are not yet in effect.
func (mac *Machine) Pending() []string { return slices.Sorted(maps.Keys(mac.pend)) }

// settle forgets orders that took effect or got no answer in time.
func (mac *Machine) settle(inp Input) {
	for id, pnd := range mac.pend {
		srv := inp.View.Server(id)
		switch {
		case srv == nil, inEffect(pnd.ord, srv), inp.Now.Sub(pnd.sent) >= pnd.hold:
			delete(mac.pend, id)
		}
	}
}

// inEffect reports whether a server's entry shows the effect of an order.
func inEffect(ord site.Order, srv *site.Server) bool {
	same := srv.Group.Name == ord.Group && srv.Group.Epoch == ord.Epoch
	switch ord.Kind {
	case site.OrderJoin:
		return same
	case site.OrderOpen:
		return !same || srv.Group.State == site.GroupOpen
	case site.OrderClose:
		return !same || srv.Group.State != site.GroupOpen
	case site.OrderLeave:
		return !same
	}
	return srv.Has(ord.Model)
}

// stagingOf returns the model that is being loaded onto the server's host,
// empty if none is.
func (mac *Machine) stagingOf(srv *site.Server, now time.Time) string {
	mrk, ok := mac.staging[srv.ID]
	if !ok || mrk.born != srv.Born || !now.Before(mrk.until) || len(srv.Staged) > 0 {
		return ""
	}
	return mrk.model
}

// epoch returns an epoch that is higher than any given out before.
func (mac *Machine) epoch() int64 {
	mac.epochs++
	return mac.term*epochsPerTerm + mac.epochs
}

// name returns a new name of a group.
func (mac *Machine) name() string {
	mac.names++
	return fmt.Sprintf("g%d-%d", mac.term, mac.names)
}

// loadBudget bounds the loads from the weight store.
type loadBudget struct {
	begun []time.Time
}

// loadWindow is the time over which loads are counted.
const loadWindow = 5 * time.Second

// free returns how many loads may begin now at the rate of loads a second.
func (lob *loadBudget) free(now time.Time, rate float64) int {
	for len(lob.begun) > 0 && now.Sub(lob.begun[0]) >= loadWindow {
		lob.begun = lob.begun[1:]
	}
	return int(rate*loadWindow.Seconds()) - len(lob.begun)
}

// note counts one load.
func (lob *loadBudget) note(now time.Time) { lob.begun = append(lob.begun, now) }
