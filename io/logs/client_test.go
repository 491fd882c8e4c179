package logs_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/logts"
	"kumquathinge/io/logs"
	"kumquathinge/stand"
)

func TestConforms(tst *testing.T) {
	logts.Test(tst, func(tst *testing.T) logts.Fixture {
		svc := stand.NewLog()
		assert.NilError(tst, svc.Start("127.0.0.1:0"))
		tst.Cleanup(func() { _ = svc.Close() })
		change := func(edit func(flt *stand.LogFault)) {
			flt := svc.Fault()
			edit(&flt)
			svc.SetFault(flt)
		}
		return logts.Fixture{
			Log:           logs.New("http://" + svc.Addr()),
			Truncate:      func(num int) { change(func(flt *stand.LogFault) { flt.Retention = num }) },
			SetRefusing:   func(on bool) { change(func(flt *stand.LogFault) { flt.Refuse = on }) },
			LoseResponses: func(num int) { change(func(flt *stand.LogFault) { flt.LoseAnswers = num }) },
			SetDown:       func(on bool) { change(func(flt *stand.LogFault) { flt.Down = on }) },
		}
	})
}

// TestAppendOutcome holds every way in which an append can fail against the
// code that it must get, and counts the calls that the service received.
func TestAppendOutcome(tst *testing.T) {
	drop := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	text := func(cod int, txt string) func(http.ResponseWriter) {
		return func(wri http.ResponseWriter) {
			wri.WriteHeader(cod)
			_, _ = wri.Write([]byte(txt))
		}
	}
	for _, cas := range []struct {
		name   string
		answer func(http.ResponseWriter)
		want   core.Code
	}{
		{"taken", text(200, `{"offset":3}`), core.CodeOK},
		{"connection dropped", drop, core.CodeLogUnknown},
		{"refused", text(503, `{"refused":true}`), core.CodeLogRefused},
		{"unavailable but not refused", text(503, `overloaded`), core.CodeLogUnknown},
		{"server error", text(500, ``), core.CodeLogUnknown},
		{"answer is no JSON", text(200, `<html>`), core.CodeLogUnknown},
		{"answer has no offset", text(200, `{}`), core.CodeLogUnknown},
		{"refused with another status", text(200, `{"refused":true}`), core.CodeLogUnknown},
	} {
		tst.Run(cas.name, func(tst *testing.T) {
			var calls atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				cas.answer(wri)
			}))
			defer srv.Close()
			_, err := logs.New(srv.URL).Append(tst.Context(), "id", []byte("x"))
			assert.Equal(tst, core.CodeOf(err), cas.want)
			assert.Equal(tst, calls.Load(), int64(1))
		})
	}
}

func TestAppendWithoutListener(tst *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tst, err)
	adr := lis.Addr().String()
	assert.NilError(tst, lis.Close())
	_, err = logs.New("http://"+adr).Append(tst.Context(), "id", nil)
	assert.Equal(tst, core.CodeOf(err), core.CodeLogRefused)
}

// TestSilentConnection leaves all open connections silent: the append on one
// is unknown, and the next call uses a new connection.
func TestSilentConnection(tst *testing.T) {
	svc := stand.NewLog()
	assert.NilError(tst, svc.Start("127.0.0.1:0"))
	tst.Cleanup(func() { _ = svc.Close() })
	cli := logs.New("http://" + svc.Addr())
	const conns = 4
	var grp sync.WaitGroup
	for range conns {
		grp.Go(func() {
			_, err := cli.Read(tst.Context(), 1, 1, 100*time.Millisecond)
			assert.Check(tst, err)
		})
	}
	grp.Wait()
	flt := svc.Fault()
	flt.SilentOld = true
	svc.SetFault(flt)
	ctx, cancel := context.WithTimeout(tst.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := cli.Append(ctx, "r1", nil)
	assert.Equal(tst, core.CodeOf(err), core.CodeLogUnknown)
	ctx, cancel = context.WithTimeout(tst.Context(), 5*time.Second)
	defer cancel()
	_, err = cli.Append(ctx, "r2", nil)
	assert.NilError(tst, err)
}
