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
	heartbeatInterval     = 500 * time.Millisecond
	publishInterval       = 100 * time.Millisecond
	suspectTimeout        = 2 * time.Second
	deadTimeout           = 60 * time.Second
	peerFanout            = 12
	peerDialTimeout       = 500 * time.Millisecond
	peerCallTimeout       = 2 * time.Second
	peerSilenceTimeout    = 5 * time.Second
	peerKeepAliveInterval = time.Second
	broadcastTimeout      = 200 * time.Millisecond
)

// liveNodes is what is known of the live entry VMs. It is immutable.
type liveNodes struct {
	heartbeats []core.Heartbeat
}

// inZone returns the names of the live nodes of a zone.
func (nodes *liveNodes) inZone(zone core.Zone) []core.NodeName {
	var out []core.NodeName
	for _, hb := range nodes.heartbeats {
		if hb.Zone == zone {
			out = append(out, hb.Node)
		}
	}
	return out
}

// writerRunning reports whether the process that wrote the record is live. The IDs of
// records that claim requests contain the run of their writer.
func (nodes *liveNodes) writerRunning(node core.NodeName, rec core.RecordID) bool {
	for _, hb := range nodes.heartbeats {
		if hb.Node == node {
			return strings.Contains(string(rec), string(hb.Incarnation))
		}
	}
	return false
}

// membership is the task that exchanges beats with other entry VMs.
type membership struct {
	ownHeartbeat func() core.Heartbeat
	onHeartbeat  func(core.Heartbeat)
	vmPoller     *vmListPoller
	seeds        []string
	log          *logrus.Logger
	now          func() time.Time
	scheme       string
	clientConfig peer.Config
	received     chan core.Heartbeat
	requests     chan heartbeatRequest
	table        *membr.Table
	current      atomic.Pointer[liveNodes]
	clients      sync.Map
	wg           sync.WaitGroup
}

// heartbeatRequest is a beat from a peer that waits for this node's.
type heartbeatRequest struct {
	heartbeat core.Heartbeat
	reply     chan core.Heartbeat
}

// newMembership returns a beater that knows only its own node. Self returns the
// node's beat and merge takes what a peer's beat says. Sec is nil without TLS.
func newMembership(ownHeartbeat func() core.Heartbeat, onHeartbeat func(core.Heartbeat), vmPoller *vmListPoller, seeds []string, dial peer.DialFunc, tlsCfg *tls.Config, log *logrus.Logger, now func() time.Time) *membership {
	members := &membership{
		ownHeartbeat: ownHeartbeat,
		onHeartbeat:  onHeartbeat,
		vmPoller:     vmPoller,
		seeds:        seeds,
		log:          log,
		now:          now,
		scheme:       urlScheme(tlsCfg),
		clientConfig: peer.Config{DialTimeout: peerDialTimeout, CallTimeout: peerCallTimeout, StreamIdleTimeout: peerSilenceTimeout, DialContext: dial, TLS: tlsCfg},
		received:     make(chan core.Heartbeat),
		requests:     make(chan heartbeatRequest),
		table: membr.New(ownHeartbeat(), membr.Config{
			SuspectTimeout:   suspectTimeout,
			DeadTimeout:      deadTimeout,
			ExchangeInterval: heartbeatInterval,
			Fanout:           peerFanout,
		}),
	}
	members.current.Store(&liveNodes{heartbeats: []core.Heartbeat{ownHeartbeat()}})
	return members
}

// liveNodes returns the live nodes.
func (members *membership) liveNodes() *liveNodes { return members.current.Load() }

// client returns the client of the peer at addr.
func (members *membership) client(addr string) *peer.Client {
	client, ok := members.clients.Load(addr)
	if !ok {
		client, _ = members.clients.LoadOrStore(addr, peer.New(members.scheme+addr, members.clientConfig))
	}
	return client.(*peer.Client)
}

// peers returns the clients of the live peers, those of the own zone first.
func (members *membership) peers() []core.Peer {
	self := members.ownHeartbeat()
	live := slices.Clone(members.liveNodes().heartbeats)
	slices.SortStableFunc(live, func(a, b core.Heartbeat) int {
		return zoneDistance(a, self) - zoneDistance(b, self)
	})
	var out []core.Peer
	for _, hb := range live {
		if hb.Node != self.Node {
			out = append(out, members.client(hb.Addr))
		}
	}
	return out
}

// nodeNames returns the names of the live nodes.
func (members *membership) nodeNames() []core.NodeName {
	return membr.NodeNames(members.liveNodes().heartbeats)
}

// zoneDistance is 0 for a node of the own zone and 1 for another.
func zoneDistance(hb, self core.Heartbeat) int {
	if hb.Zone == self.Zone {
		return 0
	}
	return 1
}

// exchange answers a peer's beat.
func (members *membership) exchange(ctx context.Context, hb core.Heartbeat) core.Heartbeat {
	req := heartbeatRequest{heartbeat: hb, reply: make(chan core.Heartbeat, 1)}
	select {
	case members.requests <- req:
		return <-req.reply
	case <-ctx.Done():
		return members.ownHeartbeat()
	}
}

// broadcast exchanges beats with the live peers at once, for news that should not
// wait for the next interval. It returns when all have answered or its bound
// has passed.
func (members *membership) broadcast(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), broadcastTimeout)
	defer cancel()
	self := members.exchange(ctx, core.Heartbeat{})
	var wg sync.WaitGroup
	left := peerFanout
	for _, hb := range members.liveNodes().heartbeats {
		if hb.Node == self.Node || left == 0 {
			continue
		}
		left--
		wg.Go(func() { members.exchangeWith(ctx, hb.Addr, self) })
	}
	wg.Wait()
}

// run exchanges beats until ctx ends.
func (members *membership) run(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	publishTicker := time.NewTicker(publishInterval)
	defer publishTicker.Stop()
	defer members.wg.Wait()
	members.sendHeartbeats(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			members.table.Expire(members.now())
			members.sendHeartbeats(ctx)
		case <-publishTicker.C:
			members.publishLiveNodes()
		case hb := <-members.received:
			members.receive(hb)
		case req := <-members.requests:
			members.receive(req.heartbeat)
			req.reply <- members.table.UpdateSelf(members.ownHeartbeat())
		}
	}
}

// receive puts a peer's beat into the table.
func (members *membership) receive(hb core.Heartbeat) {
	if !members.table.RecordHeartbeat(hb, members.now()) {
		return
	}
	members.checkDivergence(hb)
	members.onHeartbeat(hb)
}

// checkDivergence holds the state of a beat against that of others, and logs if other
// nodes differ from most than before.
func (members *membership) checkDivergence(hb core.Heartbeat) {
	divergence, changed := members.table.RecordHash(hb)
	if !changed {
		return
	}
	err := divergence.Err()
	entry := members.log.WithFields(logrus.Fields{"event": "alarm", "code": core.CodeOf(err), "nodes": divergence.Nodes, "offset": divergence.Offset})
	if err == nil {
		entry.Info("states agree again")
		return
	}
	entry.WithField("error", errorDetail(err)).Error("states differ")
}

// publishLiveNodes replaces the circle.
func (members *membership) publishLiveNodes() {
	members.current.Store(&liveNodes{heartbeats: members.table.Live(members.now())})
}

// sendHeartbeats starts one exchange with each target.
func (members *membership) sendHeartbeats(ctx context.Context) {
	self := members.table.UpdateSelf(members.ownHeartbeat())
	members.checkDivergence(self)
	members.table.SetSeeds(members.seedVMs())
	for _, addr := range members.table.Targets(members.now(), rand.Uint64()) {
		members.wg.Go(func() { members.exchangeWith(ctx, addr, self) })
	}
}

// seedVMs returns the entry VMs of the list and those of the start file.
func (members *membership) seedVMs() []core.VM {
	var out []core.VM
	for _, vm := range members.vmPoller.list().vms {
		if vm.Kind == core.VMEntry {
			out = append(out, vm)
		}
	}
	for _, addr := range members.seeds {
		out = append(out, core.VM{Name: core.VMName(addr), Addr: addr, Kind: core.VMEntry})
	}
	return out
}

// exchangeWith exchanges beats with one peer.
func (members *membership) exchangeWith(ctx context.Context, addr string, self core.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	hb, err := members.client(addr).Exchange(ctx, self)
	if err != nil {
		return
	}
	select {
	case members.received <- hb:
	case <-ctx.Done():
	}
}
