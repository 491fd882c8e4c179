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
	// reportPause and reportFanout are what docs/CAPACITY.md states: so many
	// reports at most in each pause.
	reportPause  = 120 * time.Millisecond
	reportFanout = 36
)

// listenPeer hands the datagrams that arrive at an address to fun.
func listenPeer(t *testing.T, addr string, fun func(raw []byte)) {
	t.Helper()
	con, err := net.ListenPacket("udp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = con.Close() })
	go func() {
		buf := make([]byte, 64<<10)
		for {
			size, _, err := con.ReadFrom(buf)
			if err != nil {
				return
			}
			fun(buf[:size])
		}
	}()
}

// TestReportsBounded checks that the reports of a node do not grow with the
// number of its peers, and that each peer gets some.
func TestReportsBounded(t *testing.T) {
	const (
		num = 100
		// each is the number of reports to a peer that are waited for, so many
		// that one turn more or less doesn't count.
		each = 8
	)
	rig := newRig(t, 1, 1)
	rig.ready()
	var total atomic.Int64
	counts := make([]atomic.Int64, num)
	for idx := range num {
		addr := fmt.Sprintf("%s.%d:18083", rig.subnet, 100+idx)
		listenPeer(t, addr, func([]byte) {
			counts[idx].Add(1)
			total.Add(1)
		})
		nam := fmt.Sprintf("peer-%d", idx)
		rig.sto.Append(platform.TopicNodes, "node/"+nam, fmt.Appendf(nil, `{"node":%q,"zone":"z2","addr":%q,"life":1}`, nam, addr))
	}
	rig.await("the first report", func() bool { return total.Load() > 0 })
	begin, before := time.Now(), total.Load()
	rig.await("reports to each peer", func() bool {
		for idx := range counts {
			if counts[idx].Load() < each {
				return false
			}
		}
		return true
	})
	turns := int64(time.Since(begin)/reportPause) + 2
	assert.Assert(t, total.Load()-before <= turns*reportFanout, "%d reports in %d turns", total.Load()-before, turns)
}

// packet is what a node sends to a peer, as far as these tests look at it.
type packet struct {
	News *struct {
		Topic string `cbor:"1,keyasint"`
		End   int64  `cbor:"3,keyasint"`
	} `cbor:"2,keyasint"`
	Pass []string `cbor:"3,keyasint"`
}

// TestNewsPassedOn checks that a node tells a few peers of a large zone what it
// has read, and lets them tell each of the others.
func TestNewsPassedOn(t *testing.T) {
	const num, direct = 40, 12
	rig := newRig(t, 1, 1)
	rig.ready()
	got := make(chan packet, 1000)
	want := map[string]bool{}
	for idx := range num {
		addr := fmt.Sprintf("%s.%d:18083", rig.subnet, 100+idx)
		want[addr] = true
		listenPeer(t, addr, func(raw []byte) {
			var pkt packet
			if cbor.Unmarshal(raw, &pkt) == nil && pkt.News != nil && pkt.News.Topic == platform.TopicOperator {
				pkt.Pass = append(pkt.Pass, addr)
				got <- pkt
			}
		})
		nam := fmt.Sprintf("peer-%02d", idx)
		rig.sto.Append(platform.TopicNodes, "node/"+nam, fmt.Appendf(nil, `{"node":%q,"zone":"z1","addr":%q,"life":1}`, nam, addr))
	}
	// The last of the records is known when a version that follows it is told
	// to all.
	for version := int64(2); ; version++ {
		rig.configure(version)
		told, packets := map[string]bool{}, 0
		for end := time.After(300 * time.Millisecond); end != nil; {
			select {
			case pkt := <-got:
				packets++
				for _, adr := range pkt.Pass {
					assert.Assert(t, want[adr] && !told[adr], "%s is told twice", adr)
					told[adr] = true
				}
			case <-end:
				end = nil
			}
		}
		assert.Assert(t, packets <= direct, "%d datagrams", packets)
		if len(told) == num {
			return
		}
		assert.Assert(t, version < 20, "%d of %d nodes are told", len(told), num)
	}
}
