package mirror_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/io/mirror"
)

// TestCut reads a topic page by page: each record comes once, and a page ends
// where the next one begins.
func TestCut(t *testing.T) {
	var recs []mirror.Record
	for num := range 100 {
		recs = append(recs, mirror.Record{Key: fmt.Sprint("key", num), Value: make([]byte, 1+num), Offset: int64(7 * (99 - num))})
	}
	const end = 1000
	seen := map[string]int{}
	pages := 0
	for from := int64(0); from < end; pages++ {
		var ask []mirror.Record
		for _, rec := range recs {
			if rec.Offset >= from {
				ask = append(ask, rec)
			}
		}
		pag := mirror.Cut(ask, end, 300)
		assert.Assert(t, pag.End > from)
		for _, rec := range pag.Records {
			assert.Assert(t, rec.Offset >= from && rec.Offset < pag.End)
			seen[rec.Key]++
		}
		from = pag.End
	}
	assert.Equal(t, len(seen), len(recs))
	for key, num := range seen {
		assert.Equal(t, num, 1, key)
	}
	assert.Assert(t, pages > 10, "%d pages", pages)
}

// TestCutLarge returns a record that is larger than a page.
func TestCutLarge(t *testing.T) {
	pag := mirror.Cut([]mirror.Record{{Key: "a", Value: make([]byte, 500), Offset: 4}, {Key: "b", Offset: 9}}, 10, 300)
	assert.Equal(t, len(pag.Records), 1)
	assert.Equal(t, pag.End, int64(9))
}

// slow is a source that holds its pages until it is told to go on.
type slow struct {
	asked chan struct{}
	gate  chan struct{}
}

func (slo slow) Page(mirror.Ask) (mirror.Page, bool) {
	slo.asked <- struct{}{}
	<-slo.gate
	return mirror.Page{End: 1}, true
}

// TestBusy turns away nodes that ask while several others are served.
func TestBusy(t *testing.T) {
	const most = 4
	slo := slow{asked: make(chan struct{}, 2*most), gate: make(chan struct{})}
	srv := httptest.NewServer(mirror.Handler(slo))
	defer srv.Close()
	cli := mirror.NewClient(time.Second)
	addr := strings.TrimPrefix(srv.URL, "http://")
	errs := make(chan error, most)
	for range most {
		go func() {
			_, err := cli.Fetch(context.Background(), addr, mirror.Ask{Topic: "x"})
			errs <- err
		}()
		<-slo.asked
	}
	_, err := cli.Fetch(context.Background(), addr, mirror.Ask{Topic: "x"})
	assert.ErrorContains(t, err, "other nodes")
	close(slo.gate)
	for range most {
		assert.NilError(t, <-errs)
	}
	_, err = cli.Fetch(context.Background(), addr, mirror.Ask{Topic: "x"})
	assert.NilError(t, err)
}
