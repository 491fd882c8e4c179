package place

import (
	"fmt"
	"time"

	"kumquathinge/core/site"
)

// Bounds of orders and groups.
const (
	// answerBound is the time after which an order without an effect in the
	// server's entry is sent again. It is several round trips and the time
	// that an entry takes through the store.
	answerBound = 700 * time.Millisecond
	// conflictPause is the wait after a refused order, so that the server's
	// entry can catch up.
	conflictPause = 150 * time.Millisecond
	// closeBound is the time that a closing group has to end its requests
	// before its members are ordered on; streams that are cut go on elsewhere.
	closeBound = 1200 * time.Millisecond
	// orphanBound is the time after which the members of a group whose head
	// can't be reached may serve in other groups. A head that is cut off longer
	// and stays open is not told from one that is gone; cuts of 10 s are usual.
	orphanBound = 20 * time.Second
	// rejoinGrace is the time within which a member whose entry went registers
	// again if it lives: entries that lapsed while the store was away, or cut
	// off, are back about 2 s after its return.
	rejoinGrace = 2200 * time.Millisecond
	// settleTime is the time for which a domain waits for further servers
	// before loads are begun for a new group: those that come back together
	// register within about a second, with models on their hosts.
	settleTime = 1200 * time.Millisecond
	// pastBound is the time for which a server without an entry is remembered:
	// orders to it may be carried out some 12 s late.
	pastBound = 40 * time.Second
	// joinSlack is added to the time that a join may take.
	joinSlack = 3 * time.Second
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
	// Unlisted reports whether a server has no entry but answers: it may be a
	// member and not a head, since no requests go to it. Nil stands for none.
	Unlisted func(id string) bool
	// Slow reports whether a server holds its group up; nil if unknown.
	Slow func(id string) bool
	// Load is the mean part of the batch that requests take at the groups of a
	// model, by its name; those that wait count as well. It is nil until requests
	// have been counted.
	Load map[string]float64
	// Calm tells that traffic has not started, so that loads are cheap.
	Calm bool
}

// pending is an order whose effect is not yet in the server's entry.
type pending struct {
	ord  site.Order
	sent time.Time
	hold time.Duration
}

// plan is a group that this orderer forms.
type plan struct {
	epoch   int64
	model   *site.Model
	members []string
	begun   time.Time
}

// past is what is remembered of one life of a server.
type past struct {
	born int64
	// seen is the time of the first look at this life, gone that since which it
	// has no entry.
	seen, gone time.Time
	// model is the model of the last group.
	model string
	// staging is the model that is being loaded onto the host, until the time.
	staging string
	until   time.Time
	// joined is the highest epoch that the server was told to join, whether it
	// answered or not.
	joined int64
	// stray is the time since which the server is a member of an epoch whose
	// head is not known to have left it.
	stray time.Time
}

// trace is what is remembered of a group's name.
type trace struct {
	model string
	// closed is the time of the order to close, orphaned the time since which
	// the head can't be reached, joining the time since which members join
	// that an earlier orderer told to.
	closed, orphaned, joining time.Time
	// missing is the time since which a member has no entry.
	missing time.Time
	// left tells that the head has left by order.
	left  bool
	epoch int64
}

// Machine plans the groups of a deployment during one term of its orderer.
type Machine struct {
	term   int64
	epochs int64
	names  int64
	pend   map[string]*pending
	plans  map[string]*plan
	pasts  map[string]*past
	traces map[string]*trace
	// heads are the heads of the epochs of groups, as far as they were seen.
	heads map[epochKey]string
	loads *loadBudget
}

// epochKey names an epoch of a group.
type epochKey struct {
	name  string
	epoch int64
}

// New returns a Machine for the term. Terms grow with each change of the
// orderer, and a term has one Machine only: names and epochs come from it.
func New(term int64) *Machine {
	return &Machine{
		term:   term,
		pend:   map[string]*pending{},
		plans:  map[string]*plan{},
		pasts:  map[string]*past{},
		traces: map[string]*trace{},
		heads:  map[epochKey]string{},
		loads:  &loadBudget{},
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
	mac.remember(inp)
	var out []site.Order
	for idx := range inp.Table.Config().Services {
		svc := &inp.Table.Config().Services[idx]
		if svc.Engine != nil {
			out = append(out, newStep(mac, inp, svc).run()...)
		}
	}
	return out
}

// Answer tells how a server answered an order.
func (mac *Machine) Answer(ord site.Order, res site.OrderResult, now time.Time) {
	pnd := mac.pend[ord.Server]
	if pnd == nil || pnd.ord.Kind != ord.Kind || pnd.ord.Epoch != ord.Epoch || pnd.ord.Group != ord.Group {
		return
	}
	if trc := mac.traces[ord.Group]; trc != nil && ord.Kind == site.OrderLeave && res == site.OrderDone && trc.epoch == ord.Epoch {
		trc.left = true
	}
	if res != site.OrderAccepted && res != site.OrderUnknown {
		// The state held before, or the order doesn't fit: in both cases the
		// entry soon shows more.
		pnd.sent = now
		pnd.hold = conflictPause
	}
}

// settle forgets orders that took effect or got no answer in time.
func (mac *Machine) settle(inp Input) {
	for id, pnd := range mac.pend {
		srv := inp.View.Server(id)
		if srv == nil || inEffect(pnd.ord, srv) || inp.Now.Sub(pnd.sent) >= pnd.hold {
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
	return srv.HasStaged(ord.Model)
}

// remember notes the models of servers and groups, which entries show only for
// a time, and forgets servers that are gone.
func (mac *Machine) remember(inp Input) {
	for id, srv := range inp.View.Servers() {
		pst := mac.pasts[id]
		if pst == nil || pst.born != srv.StartMillis {
			pst = &past{born: srv.StartMillis, seen: inp.Now}
			mac.pasts[id] = pst
		}
		if srv.Model != "" {
			pst.model = srv.Model
		}
		if pst.staging != "" && (srv.HasStaged(pst.staging) || !inp.Now.Before(pst.until)) {
			pst.staging = ""
		}
	}
	for id, pst := range mac.pasts {
		if inp.View.Server(id) != nil {
			pst.gone = time.Time{}
			continue
		}
		if pst.gone.IsZero() {
			pst.gone, pst.stray = inp.Now, time.Time{}
		}
		if inp.Now.Sub(pst.gone) > pastBound {
			delete(mac.pasts, id)
		}
	}
	seen := map[string]bool{}
	for _, grp := range inp.View.Groups() {
		seen[grp.Name] = true
		if hea := grp.Head(); hea != nil {
			mac.heads[epochKey{name: grp.Name, epoch: grp.Epoch}] = hea.ID
		}
	}
	for nam, trc := range mac.traces {
		if !seen[nam] {
			// What was seen before the group went out of sight says nothing of it
			// when it comes back.
			trc.closed, trc.orphaned, trc.joining, trc.missing = time.Time{}, time.Time{}, time.Time{}, time.Time{}
		}
	}
}

// headLeft reports whether the head of a member's epoch is known not to serve
// it any more.
func (mac *Machine) headLeft(srv *site.Server, vie *site.View) bool {
	id, ok := mac.heads[epochKey{name: srv.Group.Name, epoch: srv.Group.Epoch}]
	if !ok {
		return false
	}
	hea := vie.Server(id)
	return hea != nil && (hea.Group.Name != srv.Group.Name || hea.Group.Epoch != srv.Group.Epoch)
}

// trace returns what is remembered of a group's name.
func (mac *Machine) trace(name string) *trace {
	trc := mac.traces[name]
	if trc == nil {
		trc = &trace{}
		mac.traces[name] = trc
	}
	return trc
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
