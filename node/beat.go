package node

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
	"kumquathinge/core/membr"
	"kumquathinge/io/peer"
)

// Timing of the exchange between entry VMs.
const (
	beatInterval    = 500 * time.Millisecond
	publishInterval = 100 * time.Millisecond
	peerSuspect     = 2 * time.Second
	peerDead        = 60 * time.Second
	peerFanout      = 12
	peerDial        = 500 * time.Millisecond
	peerCall        = 2 * time.Second
	peerSilence     = 5 * time.Second
	peerKeepAlive   = time.Second
	tellTimeout     = 200 * time.Millisecond
)

// circle is what is known of the live entry VMs. It is immutable.
type circle struct {
	live []core.Heartbeat
}

// inZone returns the names of the live nodes of a zone.
func (cir *circle) inZone(zon core.Zone) []core.NodeName {
	var out []core.NodeName
	for _, bea := range cir.live {
		if bea.Zone == zon {
			out = append(out, bea.Node)
		}
	}
	return out
}

// runs reports whether the process that wrote the record is live. The IDs of
// records that claim requests contain the run of their writer.
func (cir *circle) runs(nod core.NodeName, rec core.RecordID) bool {
	for _, bea := range cir.live {
		if bea.Node == nod {
			return strings.Contains(string(rec), string(bea.Incarnation))
		}
	}
	return false
}

// beater is the task that exchanges beats with other entry VMs.
type beater struct {
	self    func() core.Heartbeat
	merge   func(core.Heartbeat)
	lst     *lister
	seeds   []string
	log     *logrus.Logger
	now     func() time.Time
	scheme  string
	cfg     peer.Config
	heard   chan core.Heartbeat
	asks    chan beatAsk
	tab     *membr.Table
	cur     atomic.Pointer[circle]
	clients sync.Map
	wg      sync.WaitGroup
}

// beatAsk is a beat from a peer that waits for this node's.
type beatAsk struct {
	bea core.Heartbeat
	ans chan core.Heartbeat
}

// newBeater returns a beater that knows only its own node. Self returns the
// node's beat and merge takes what a peer's beat says. Sec is nil without TLS.
func newBeater(self func() core.Heartbeat, merge func(core.Heartbeat), lst *lister, seeds []string, dial peer.Dialer, sec *tls.Config, log *logrus.Logger, now func() time.Time) *beater {
	bet := &beater{
		self:   self,
		merge:  merge,
		lst:    lst,
		seeds:  seeds,
		log:    log,
		now:    now,
		scheme: scheme(sec),
		cfg:    peer.Config{Dial: peerDial, Call: peerCall, Silence: peerSilence, Dialer: dial, TLS: sec},
		heard:  make(chan core.Heartbeat),
		asks:   make(chan beatAsk),
		tab: membr.New(self(), membr.Config{
			SuspectTimeout:   peerSuspect,
			DeadTimeout:      peerDead,
			ExchangeInterval: beatInterval,
			Fanout:           peerFanout,
		}),
	}
	bet.cur.Store(&circle{live: []core.Heartbeat{self()}})
	return bet
}

// circle returns the live nodes.
func (bet *beater) circle() *circle { return bet.cur.Load() }

// client returns the client of the peer at addr.
func (bet *beater) client(addr string) *peer.Client {
	cli, ok := bet.clients.Load(addr)
	if !ok {
		cli, _ = bet.clients.LoadOrStore(addr, peer.New(bet.scheme+addr, bet.cfg))
	}
	return cli.(*peer.Client)
}

// peers returns the clients of the live peers, those of the own zone first.
func (bet *beater) peers() []core.Peer {
	self := bet.self()
	live := slices.Clone(bet.circle().live)
	slices.SortStableFunc(live, func(one, two core.Heartbeat) int {
		return rankZone(one, self) - rankZone(two, self)
	})
	var out []core.Peer
	for _, bea := range live {
		if bea.Node != self.Node {
			out = append(out, bet.client(bea.Addr))
		}
	}
	return out
}

// names returns the names of the live nodes.
func (bet *beater) names() []core.NodeName { return membr.NodeNames(bet.circle().live) }

// rankZone is 0 for a node of the own zone and 1 for another.
func rankZone(bea, self core.Heartbeat) int {
	if bea.Zone == self.Zone {
		return 0
	}
	return 1
}

// exchange answers a peer's beat.
func (bet *beater) exchange(ctx context.Context, bea core.Heartbeat) core.Heartbeat {
	ask := beatAsk{bea: bea, ans: make(chan core.Heartbeat, 1)}
	select {
	case bet.asks <- ask:
		return <-ask.ans
	case <-ctx.Done():
		return bet.self()
	}
}

// tell exchanges beats with the live peers at once, for news that should not
// wait for the next interval. It returns when all have answered or its bound
// has passed.
func (bet *beater) tell(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTimeout)
	defer cancel()
	self := bet.exchange(ctx, core.Heartbeat{})
	var wg sync.WaitGroup
	left := peerFanout
	for _, bea := range bet.circle().live {
		if bea.Node == self.Node || left == 0 {
			continue
		}
		left--
		wg.Go(func() { bet.ask(ctx, bea.Addr, self) })
	}
	wg.Wait()
}

// run exchanges beats until ctx ends.
func (bet *beater) run(ctx context.Context) error {
	tic := time.NewTicker(beatInterval)
	defer tic.Stop()
	pub := time.NewTicker(publishInterval)
	defer pub.Stop()
	defer bet.wg.Wait()
	bet.send(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tic.C:
			bet.tab.Expire(bet.now())
			bet.send(ctx)
		case <-pub.C:
			bet.publish()
		case bea := <-bet.heard:
			bet.take(bea)
		case ask := <-bet.asks:
			bet.take(ask.bea)
			ask.ans <- bet.tab.UpdateSelf(bet.self())
		}
	}
}

// take puts a peer's beat into the table.
func (bet *beater) take(bea core.Heartbeat) {
	if !bet.tab.RecordHeartbeat(bea, bet.now()) {
		return
	}
	bet.compare(bea)
	bet.merge(bea)
}

// compare holds the state of a beat against that of others, and logs if other
// nodes differ from most than before.
func (bet *beater) compare(bea core.Heartbeat) {
	alm, changed := bet.tab.RecordHash(bea)
	if !changed {
		return
	}
	err := alm.Err()
	ent := bet.log.WithFields(logrus.Fields{"event": "alarm", "code": core.CodeOf(err), "nodes": alm.Nodes, "offset": alm.Offset})
	if err == nil {
		ent.Info("states agree again")
		return
	}
	ent.WithField("error", detail(err)).Error("states differ")
}

// publish replaces the circle.
func (bet *beater) publish() {
	bet.cur.Store(&circle{live: bet.tab.Live(bet.now())})
}

// send starts one exchange with each target.
func (bet *beater) send(ctx context.Context) {
	self := bet.tab.UpdateSelf(bet.self())
	bet.compare(self)
	bet.tab.SetSeeds(bet.seedVMs())
	for _, addr := range bet.tab.Targets(bet.now(), rand.Uint64()) {
		bet.wg.Go(func() { bet.ask(ctx, addr, self) })
	}
}

// seedVMs returns the entry VMs of the list and those of the start file.
func (bet *beater) seedVMs() []core.VM {
	var out []core.VM
	for _, vmx := range bet.lst.roster().vms {
		if vmx.Kind == core.VMEntry {
			out = append(out, vmx)
		}
	}
	for _, addr := range bet.seeds {
		out = append(out, core.VM{Name: core.VMName(addr), Addr: addr, Kind: core.VMEntry})
	}
	return out
}

// ask exchanges beats with one peer.
func (bet *beater) ask(ctx context.Context, addr string, self core.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, peerCall)
	defer cancel()
	bea, err := bet.client(addr).Exchange(ctx, self)
	if err != nil {
		return
	}
	select {
	case bet.heard <- bea:
	case <-ctx.Done():
	}
}
