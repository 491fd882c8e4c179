package entry_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"kumquathinge/platform"
)

const (
	// heartbeatInterval and heartbeatFanout are the limits that
	// docs/CAPACITY.md states: at most heartbeatFanout heartbeats per interval.
	heartbeatInterval = 120 * time.Millisecond
	heartbeatFanout   = 36
)

// listenPeer calls fn with each datagram that arrives at an address.
func listenPeer(t *testing.T, addr string, fn func(raw []byte)) {
	t.Helper()
	conn, err := net.ListenPacket("udp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		buf := make([]byte, 64<<10)
		for {
			size, _, err := conn.ReadFrom(buf)
			if err != nil {
				return
			}
			fn(buf[:size])
		}
	}()
}

// TestHeartbeatsBounded checks that the rate of heartbeats does not grow with
// the number of peers, and that each peer still gets some.
func TestHeartbeatsBounded(t *testing.T) {
	const (
		peerCount = 100
		// minPerPeer is the number of heartbeats to wait for at each peer. It
		// is large enough that one round more or less does not affect the
		// result.
		minPerPeer = 8
	)
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	var total atomic.Int64
	counts := make([]atomic.Int64, peerCount)
	for idx := range peerCount {
		addr := fmt.Sprintf("%s.%d:18083", rig.subnet, 100+idx)
		listenPeer(t, addr, func([]byte) {
			counts[idx].Add(1)
			total.Add(1)
		})
		name := fmt.Sprintf("peer-%d", idx)
		rig.store.Append(platform.TopicNodes, "node/"+name, fmt.Appendf(nil, `{"node":%q,"zone":"z2","addr":%q,"life":1}`, name, addr))
	}
	rig.waitFor("the first heartbeat", func() bool { return total.Load() > 0 })
	start, initial := time.Now(), total.Load()
	rig.waitFor("heartbeats to each peer", func() bool {
		for idx := range counts {
			if counts[idx].Load() < minPerPeer {
				return false
			}
		}
		return true
	})
	turns := int64(time.Since(start)/heartbeatInterval) + 2
	assert.Assert(t, total.Load()-initial <= turns*heartbeatFanout, "%d heartbeats in %d rounds", total.Load()-initial, turns)
}

// datagram has the fields of a message between nodes that these tests use.
type datagram struct {
	Update *struct {
		Topic string `cbor:"1,keyasint"`
		End   int64  `cbor:"3,keyasint"`
	} `cbor:"2,keyasint"`
	Forward []string `cbor:"3,keyasint"`
}

// TestUpdateForwarding checks that a node in a large zone sends an update
// directly to a few peers only, and that these are asked to forward it to each
// of the others exactly once.
func TestUpdateForwarding(t *testing.T) {
	const peerCount, maxDirect = 40, 12
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	got := make(chan datagram, 1000)
	want := map[string]bool{}
	for idx := range peerCount {
		addr := fmt.Sprintf("%s.%d:18083", rig.subnet, 100+idx)
		want[addr] = true
		listenPeer(t, addr, func(raw []byte) {
			var pkt datagram
			if cbor.Unmarshal(raw, &pkt) == nil && pkt.Update != nil && pkt.Update.Topic == platform.TopicOperator {
				pkt.Forward = append(pkt.Forward, addr)
				got <- pkt
			}
		})
		name := fmt.Sprintf("peer-%02d", idx)
		rig.store.Append(platform.TopicNodes, "node/"+name, fmt.Appendf(nil, `{"node":%q,"zone":"z1","addr":%q,"life":1}`, name, addr))
	}
	// The node has applied all records of the peers when it sends an update to
	// each of them, so new versions are written until it does.
	for version := int64(2); ; version++ {
		rig.configure(version)
		notified, packets := map[string]bool{}, 0
		for end := time.After(300 * time.Millisecond); end != nil; {
			select {
			case pkt := <-got:
				packets++
				for _, addr := range pkt.Forward {
					assert.Assert(t, want[addr] && !notified[addr], "%s gets the update twice", addr)
					notified[addr] = true
				}
			case <-end:
				end = nil
			}
		}
		assert.Assert(t, packets <= maxDirect, "%d datagrams", packets)
		if len(notified) == peerCount {
			return
		}
		assert.Assert(t, version < 20, "only %d of %d nodes get the update", len(notified), peerCount)
	}
}
