package logs_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/io/logs"
	"kumquathinge/stand"
)

// meter counts the bytes of the connections that it accepts, both ways.
type meter struct {
	net.Listener
	bytes *atomic.Int64
}

type meterConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (met meter) Accept() (net.Conn, error) {
	con, err := met.Listener.Accept()
	return meterConn{Conn: con, bytes: met.bytes}, err
}

func (mec meterConn) Read(buf []byte) (int, error) {
	num, err := mec.Conn.Read(buf)
	mec.bytes.Add(int64(num))
	return num, err
}

func (mec meterConn) Write(buf []byte) (int, error) {
	num, err := mec.Conn.Write(buf)
	mec.bytes.Add(int64(num))
	return num, err
}

func claims(num int) []byte {
	bat := recd.Batch{Version: recd.Version}
	for idx := range num {
		bat.Records = append(bat.Records, recd.Record{
			ID: core.RecordID(fmt.Sprintf("entry-vm-017/5f3a9c21/r%d", idx)), By: "entry-vm-017",
			Claim: &recd.Claim{
				Org: "o1", Key: core.IdempotencyKey(fmt.Sprintf("7b0f3c52-8f63-4d0e-9a9e-%012d", idx)),
				Issued: time.Unix(1_800_000_000, 0), Digest: 1 << 60, Holder: "entry-vm-017",
			},
		})
	}
	return recd.Encode(bat)
}

// BenchmarkRead is what the reading of claims costs one reader: bytes on the
// connection and time, by claims in an entry and entries in a page.
func BenchmarkRead(ben *testing.B) {
	for _, cas := range []struct{ batch, page int }{{0, 0}, {1, 1}, {1, 32}, {32, 1}, {32, 32}} {
		ben.Run(fmt.Sprintf("claims=%d/entries=%d", cas.batch, cas.page), func(ben *testing.B) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				ben.Fatal(err)
			}
			svc := stand.NewLog()
			var bytes atomic.Int64
			go func() { _ = svc.Serve(meter{Listener: lis, bytes: &bytes}) }()
			defer func() { _ = svc.Close() }()
			cli := logs.New("http://" + lis.Addr().String())
			for range cas.page {
				_, err = cli.Append(ben.Context(), "b", claims(cas.batch))
				if err != nil {
					ben.Fatal(err)
				}
			}
			bytes.Store(0)
			calls := 0
			for ben.Loop() {
				_, err = cli.Read(ben.Context(), 1, 1000, 0)
				if err != nil {
					ben.Fatal(err)
				}
				calls++
			}
			perCall := float64(bytes.Load()) / float64(calls)
			ben.ReportMetric(perCall, "wire-B/read")
			if num := cas.batch * cas.page; num > 0 {
				ben.ReportMetric(perCall/float64(num), "wire-B/claim")
			}
		})
	}
}
