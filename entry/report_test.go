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
	// heartbeatInterval and reportFanout are what docs/CAPACITY.md states: so many
	// reports at most in each pause.
	heartbeatInterval = 120 * time.Millisecond
	heartbeatFanout   = 36
)

// listenPeer hands the datagrams that arrive at an address to fun.
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

// TestHeartbeatsBounded checks that the reports of a node do not grow with the
// number of its peers, and that each peer gets some.
func TestHeartbeatsBounded(t *testing.T) {
	const (
		num = 100
		// each is the number of reports to a peer that are waited for, so many
		// that one turn more or less doesn't count.
		each = 8
	)
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	var total atomic.Int64
	counts := make([]atomic.Int64, num)
	for idx := range num {
		addr := fmt.Sprintf("%s.%d:18083", rig.subnet, 100+idx)
		listenPeer(t, addr, func([]byte) {
			counts[idx].Add(1)
			total.Add(1)
		})
		name := fmt.Sprintf("peer-%d", idx)
		rig.store.Append(platform.TopicNodes, "node/"+name, fmt.Appendf(nil, `{"node":%q,"zone":"z2","addr":%q,"life":1}`, name, addr))
	}
	rig.waitFor("the first report", func() bool { return total.Load() > 0 })
	begin, before := time.Now(), total.Load()
	rig.waitFor("reports to each peer", func() bool {
		for idx := range counts {
			if counts[idx].Load() < each {
				return false
			}
		}
		return true
	})
	turns := int64(time.Since(begin)/heartbeatInterval) + 2
	assert.Assert(t, total.Load()-before <= turns*heartbeatFanout, "%d reports in %d turns", total.Load()-before, turns)
}

// datagram is what a node sends to a peer, as far as these tests look at it.
type datagram struct {
	Update *struct {
		Topic string `cbor:"1,keyasint"`
		End   int64  `cbor:"3,keyasint"`
	} `cbor:"2,keyasint"`
	Forward []string `cbor:"3,keyasint"`
}

// TestUpdateForwarding checks that a node tells a few peers of a large zone what it
// has read, and lets them tell each of the others.
func TestUpdateForwarding(t *testing.T) {
	const num, direct = 40, 12
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	got := make(chan datagram, 1000)
	want := map[string]bool{}
	for idx := range num {
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
	// The last of the records is known when a version that follows it is told
	// to all.
	for version := int64(2); ; version++ {
		rig.configure(version)
		notified, packets := map[string]bool{}, 0
		for end := time.After(300 * time.Millisecond); end != nil; {
			select {
			case pkt := <-got:
				packets++
				for _, addr := range pkt.Forward {
					assert.Assert(t, want[addr] && !notified[addr], "%s is told twice", addr)
					notified[addr] = true
				}
			case <-end:
				end = nil
			}
		}
		assert.Assert(t, packets <= direct, "%d datagrams", packets)
		if len(notified) == num {
			return
		}
		assert.Assert(t, version < 20, "%d of %d nodes are told", len(notified), num)
	}
}
