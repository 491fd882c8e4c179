package peer_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/peer"
)

// tally counts the bytes of the connections that it accepts, both ways.
type tally struct {
	net.Listener
	bytes *atomic.Int64
}

type tallyConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (tly tally) Accept() (net.Conn, error) {
	con, err := tly.Listener.Accept()
	return tallyConn{con, tly.bytes}, err
}

func (tly tallyConn) Read(buf []byte) (int, error) {
	num, err := tly.Conn.Read(buf)
	tly.bytes.Add(int64(num))
	return num, err
}

func (tly tallyConn) Write(buf []byte) (int, error) {
	num, err := tly.Conn.Write(buf)
	tly.bytes.Add(int64(num))
	return num, err
}

func cpuTime() time.Duration {
	var use syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &use)
	if err != nil {
		panic(err)
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// beatOf returns a beat with so many organisations, groups and suspects.
func beatOf(orgs, groups, suspects int) core.Beat {
	bea := core.Beat{
		Node: "entry-vm-017", Zone: "south-1a", Addr: "10.0.17.5:7400", Run: "7b0f3c52-8f63-4d0e-9a9e-0c1f44d3a1b2",
		Seq: 70_000, Applied: 1_200_000, Hash: 1 << 63, HashAt: 1_199_936, LogOK: true, InFlight: 218,
		Usage: map[core.OrgName]core.Rate{}, Groups: map[core.GroupName]int{},
	}
	for idx := range orgs {
		bea.Usage[core.OrgName(fmt.Sprintf("organisation-%d", idx))] = core.Rate{Requests: 1.53, Tokens: 900.51, Running: 12}
	}
	for idx := range groups {
		bea.Groups[core.GroupName(fmt.Sprintf("group-%03d", idx))] = 21
	}
	for idx := range suspects {
		bea.Suspects = append(bea.Suspects, core.Suspect{Print: 1<<60 + uint64(idx), Crashes: 2, Until: instant})
	}
	return bea
}

// mirror answers a beat with its like.
type mirror struct{ backend }

func (mir *mirror) Exchange(bea core.Beat) core.Beat {
	bea.Seq++
	return bea
}

// BenchmarkBeat is one exchange of beats over loopback, both ends in this
// process: size of a beat, bytes on the connection and processor time. A fresh
// connection for each is what peers are reached by that are seldom asked.
func BenchmarkBeat(b *testing.B) {
	for _, cas := range []struct {
		orgs, groups, suspects int
		fresh                  bool
	}{
		{0, 0, 0, false}, {10, 11, 0, false}, {30, 11, 0, false}, {100, 11, 0, false}, {300, 11, 0, false}, {1000, 11, 0, false},
		{10, 75, 0, false}, {10, 11, 10, false}, {10, 11, 100, false}, {10, 11, 0, true},
	} {
		b.Run(fmt.Sprintf("orgs=%d/groups=%d/suspects=%d/fresh=%t", cas.orgs, cas.groups, cas.suspects, cas.fresh), func(b *testing.B) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			var bytes atomic.Int64
			srv := &http.Server{Handler: peer.Handler(&mirror{}, time.Second)}
			srv.SetKeepAlivesEnabled(!cas.fresh)
			go func() { _ = srv.Serve(tally{lis, &bytes}) }()
			defer func() { _ = srv.Close() }()
			cli := peer.New("http://"+lis.Addr().String(), peer.Config{Dial: time.Second, Call: time.Minute, Silence: time.Minute})
			bea := beatOf(cas.orgs, cas.groups, cas.suspects)
			data, err := cbor.Marshal(bea)
			assert.NilError(b, err)
			spent, calls := cpuTime(), 0
			for b.Loop() {
				_, err = cli.Exchange(b.Context(), bea)
				assert.NilError(b, err)
				calls++
			}
			b.ReportMetric(float64(len(data)), "beat-B")
			b.ReportMetric(float64(bytes.Load())/float64(calls), "wire-B/op")
			b.ReportMetric(float64((cpuTime()-spent).Microseconds())/float64(calls), "cpu-us/op")
		})
	}
}

// seen is what one entry VM would tell the others of its zone of one engine
// that it probed for them.
type seen struct {
	VM    core.VMName      `cbor:"1,keyasint"`
	Run   core.Incarnation `cbor:"2,keyasint"`
	State int              `cbor:"3,keyasint"`
	Order core.Offset      `cbor:"4,keyasint"`
	Age   time.Duration    `cbor:"5,keyasint"`
	Load  [2]int           `cbor:"6,keyasint"`
}

// BenchmarkSightsSize is the encoded size of such messages: with the run of
// each engine, and with what changes in a quarter of a second alone.
func BenchmarkSightsSize(b *testing.B) {
	type delta struct {
		Age  time.Duration `cbor:"1,keyasint"`
		Load [2]int        `cbor:"2,keyasint"`
	}
	for _, num := range []int{2, 12, 86} {
		b.Run(fmt.Sprint("engines=", num), func(b *testing.B) {
			var full []seen
			var part []delta
			for idx := range num {
				full = append(full, seen{core.VMName(fmt.Sprintf("engine-vm-%04d", idx)), "7b0f3c52-8f63-4d0e-9a9e-0c1f44d3a1b2", 2, 1_200_000, time.Duration(idx) * time.Millisecond, [2]int{30, 4}})
				part = append(part, delta{time.Duration(idx) * time.Millisecond, [2]int{30, 4}})
			}
			size := func(val any) float64 {
				data, err := cbor.Marshal(val)
				assert.NilError(b, err)
				return float64(len(data)) / float64(num)
			}
			for b.Loop() {
				b.ReportMetric(size(full), "full-B/engine")
				b.ReportMetric(size(part), "delta-B/engine")
			}
		})
	}
}
