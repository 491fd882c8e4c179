package logs_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/tail"
	"kumquathinge/io/logs"
)

// FuzzAnswer lets the service answer anything. A read ends with a page or one
// of the errors of core.Log, an append never claims without the service's word
// that nothing was appended, and a follower takes any page.
func FuzzAnswer(fzz *testing.F) {
	fzz.Add(200, []byte(`{"first":1,"next":2,"entries":[{"offset":1,"id":"a","at":"2030-01-01T00:00:00Z","data":"AAAA"}]}`))
	fzz.Add(200, []byte(`{"first":9,"next":3,"entries":[{"offset":18446744073709551615}]}`))
	fzz.Add(410, []byte(`{"first":18446744073709551615}`))
	fzz.Add(503, []byte(`{"refused":true}`))
	fzz.Add(200, []byte(`{"offset":4}`))
	status, body := http.StatusOK, []byte(nil)
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		wri.WriteHeader(status)
		_, _ = wri.Write(body)
	}))
	fzz.Cleanup(srv.Close)
	cli := logs.New(srv.URL)
	fzz.Fuzz(func(t *testing.T, sta int, data []byte) {
		if sta < 200 || sta > 599 {
			return
		}
		status, body = sta, data
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		pag, err := cli.Read(ctx, 1, 16, 0)
		cod := core.CodeOf(err)
		assert.Assert(t, cod == core.CodeOK || cod == core.CodeLogGap || cod == core.CodeLogDown, "read: %v", err)
		assert.Assert(t, err != nil || pag.Next > 0)
		off, err := cli.Append(ctx, "id", []byte("x"))
		cod = core.CodeOf(err)
		assert.Assert(t, cod == core.CodeOK && off > 0 || cod == core.CodeLogUnknown || sta == http.StatusServiceUnavailable, "append: %v", err)
		follow(pag, err)
	})
}

// follow gives the page to a follower.
func follow(pag core.Page, err error) {
	now := time.Unix(1, 0)
	fol := tail.NewFollower(tail.Config{Node: "n", Run: "r", Timings: tail.DefaultTimings(), Program: fold.Newest})
	for _, evt := range []tail.Event{
		tail.Tick{Peers: 1, Nodes: []core.NodeName{"n"}},
		tail.LogRead{Sent: now, Page: pag, Err: err},
		tail.PeerRead{Page: pag},
		tail.Tick{Peers: 1, Nodes: []core.NodeName{"n"}},
	} {
		fol.Step(evt, now)
		_, _ = fol.Recent(1, 4)
	}
}
