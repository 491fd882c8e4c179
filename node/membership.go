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

// Timing of the heartbeats between entry VMs.
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

// liveNodes has the last heartbeats of the live entry VMs, including this one.
// It is immutable.
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

// writerRunning reports whether the process that wrote the record still runs.
// The ID of a record that claims a request contains the incarnation of its
// writer.
func (nodes *liveNodes) writerRunning(node core.NodeName, rec core.RecordID) bool {
	for _, hb := range nodes.heartbeats {
		if hb.Node == node {
			return strings.Contains(string(rec), string(hb.Incarnation))
		}
	}
	return false
}

// membership is the task that exchanges heartbeats with the other entry VMs
// and publishes which of them are live.
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

// heartbeatRequest is a heartbeat received from a peer; reply gets this node's
// heartbeat in return.
type heartbeatRequest struct {
	heartbeat core.Heartbeat
	reply     chan core.Heartbeat
}

// newMembership returns a membership with only its own node. It gets the
// node's heartbeat from ownHeartbeat and calls onHeartbeat with each new
// heartbeat of a peer. Without TLS, tlsCfg is nil.
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

// liveNodes returns the live nodes as last published.
func (members *membership) liveNodes() *liveNodes { return members.current.Load() }

// client returns the client of the peer at addr.
func (members *membership) client(addr string) *peer.Client {
	client, ok := members.clients.Load(addr)
	if !ok {
		client, _ = members.clients.LoadOrStore(addr, peer.New(members.scheme+addr, members.clientConfig))
	}
	return client.(*peer.Client)
}

// peers returns the clients of the live peers, those of the node's own zone
// first.
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

// zoneDistance returns 0 if the two nodes are in the same zone and 1 if not.
func zoneDistance(hb, self core.Heartbeat) int {
	if hb.Zone == self.Zone {
		return 0
	}
	return 1
}

// exchange records the heartbeat of a peer and returns this node's. If ctx
// ends first, the peer's heartbeat is dropped.
func (members *membership) exchange(ctx context.Context, hb core.Heartbeat) core.Heartbeat {
	req := heartbeatRequest{heartbeat: hb, reply: make(chan core.Heartbeat, 1)}
	select {
	case members.requests <- req:
		return <-req.reply
	case <-ctx.Done():
		return members.ownHeartbeat()
	}
}

// broadcast exchanges heartbeats with up to peerFanout live peers at once, for
// changes that should not wait for the next interval. It returns when all
// exchanges have ended, after broadcastTimeout at the latest.
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

// run exchanges heartbeats until ctx ends.
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

// receive adds a peer's heartbeat to the table and ignores one that is not
// newer.
func (members *membership) receive(hb core.Heartbeat) {
	if !members.table.RecordHeartbeat(hb, members.now()) {
		return
	}
	members.checkDivergence(hb)
	members.onHeartbeat(hb)
}

// checkDivergence compares the state hash of a heartbeat with those of other
// nodes and logs when the set of nodes that differ from the majority changes.
func (members *membership) checkDivergence(hb core.Heartbeat) {
	divergence, changed := members.table.RecordHash(hb)
	if !changed {
		return
	}
	err := divergence.Err()
	entry := members.log.WithFields(logrus.Fields{"event": "alarm", "code": core.CodeOf(err), "nodes": divergence.Nodes, "era": divergence.Position.Era, "offset": divergence.Position.Offset})
	if err == nil {
		entry.Info("replicated states match again")
		return
	}
	entry.WithField("error", errorDetail(err)).Error("replicated states diverge")
}

// publishLiveNodes replaces the published set of live nodes.
func (members *membership) publishLiveNodes() {
	members.current.Store(&liveNodes{heartbeats: members.table.Live(members.now())})
}

// sendHeartbeats starts one exchange with each target of this round.
func (members *membership) sendHeartbeats(ctx context.Context) {
	self := members.table.UpdateSelf(members.ownHeartbeat())
	members.checkDivergence(self)
	members.table.SetSeeds(members.seedVMs())
	for _, addr := range members.table.Targets(members.now(), rand.Uint64()) {
		members.wg.Go(func() { members.exchangeWith(ctx, addr, self) })
	}
}

// seedVMs returns the entry VMs of the VM list and the seeds of the start
// file.
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

// exchangeWith exchanges heartbeats with one peer. A failed exchange is
// ignored: the next round tries again.
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
