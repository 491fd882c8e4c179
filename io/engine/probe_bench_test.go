package engine_test

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/engine"
	"kumquathinge/stand"
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

// BenchmarkProbe is one probe of a loaded engine over loopback, both ends in
// this process: bytes on the connection and processor time.
func BenchmarkProbe(b *testing.B) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	var bytes atomic.Int64
	sta := stand.NewEngine(stand.EngineConfig{VM: "engine-vm-0017", Fencing: true})
	go func() { _ = sta.Serve(tally{lis, &bytes}) }()
	defer func() { _ = sta.Close() }()
	eng := engine.New(lis.Addr().String(), engine.Config{})
	defer eng.Close()
	ord := core.Order{Number: 1_200_000, Action: core.ActionLoad, Group: "group-001", Members: []core.VMName{"engine-vm-0017"}}
	ord.Spec = core.Spec{Model: "m1", Version: "v1", Role: core.RoleBoth}
	_, err = eng.Order(b.Context(), ord)
	assert.NilError(b, err)
	bytes.Store(0)
	spent, calls := cpuTime(), 0
	for b.Loop() {
		_, err = eng.Probe(b.Context())
		assert.NilError(b, err)
		calls++
	}
	b.ReportMetric(float64(bytes.Load())/float64(calls), "wire-B/op")
	b.ReportMetric(float64((cpuTime()-spent).Microseconds())/float64(calls), "cpu-us/op")
}

func cpuTime() time.Duration {
	var use syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &use)
	if err != nil {
		panic(err)
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}
