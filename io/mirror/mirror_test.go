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

// TestBuildPage reads a topic page by page and checks that each record is
// returned exactly once and that each page continues where the last one ended.
func TestBuildPage(t *testing.T) {
	var recs []mirror.Record
	for num := range 100 {
		recs = append(recs, mirror.Record{Key: fmt.Sprint("key", num), Value: make([]byte, 1+num), Offset: int64(7 * (99 - num))})
	}
	const end = 1000
	seen := map[string]int{}
	pages := 0
	for from := int64(0); from < end; pages++ {
		var rest []mirror.Record
		for _, rec := range recs {
			if rec.Offset >= from {
				rest = append(rest, rec)
			}
		}
		page := mirror.BuildPage(rest, end, 300)
		assert.Assert(t, page.End > from)
		for _, rec := range page.Records {
			assert.Assert(t, rec.Offset >= from && rec.Offset < page.End)
			seen[rec.Key]++
		}
		from = page.End
	}
	assert.Equal(t, len(seen), len(recs))
	for key, count := range seen {
		assert.Equal(t, count, 1, key)
	}
	assert.Assert(t, pages > 10, "%d pages", pages)
}

// TestBuildPageLargeRecord checks that a record larger than the page limit is
// returned as a page of its own.
func TestBuildPageLargeRecord(t *testing.T) {
	page := mirror.BuildPage([]mirror.Record{{Key: "a", Value: make([]byte, 500), Offset: 4}, {Key: "b", Offset: 9}}, 10, 300)
	assert.Equal(t, len(page.Records), 1)
	assert.Equal(t, page.End, int64(9))
}

// blockingSource is a source that blocks each request until release is closed.
type blockingSource struct {
	requested chan struct{}
	release   chan struct{}
}

func (src blockingSource) Page(mirror.FetchRequest) (mirror.Page, bool) {
	src.requested <- struct{}{}
	<-src.release
	return mirror.Page{End: 1}, true
}

// TestTooManyFetches checks that a fetch beyond the concurrency limit is rejected
// and that fetches succeed again once the others have finished.
func TestTooManyFetches(t *testing.T) {
	const maxFetches = 4
	src := blockingSource{requested: make(chan struct{}, 2*maxFetches), release: make(chan struct{})}
	srv := httptest.NewServer(mirror.Handler(src))
	defer srv.Close()
	client := mirror.NewClient(time.Second)
	addr := strings.TrimPrefix(srv.URL, "http://")
	errs := make(chan error, maxFetches)
	for range maxFetches {
		go func() {
			_, err := client.Fetch(context.Background(), addr, mirror.FetchRequest{Topic: "x"})
			errs <- err
		}()
		<-src.requested
	}
	_, err := client.Fetch(context.Background(), addr, mirror.FetchRequest{Topic: "x"})
	assert.ErrorContains(t, err, "too many concurrent fetches")
	close(src.release)
	for range maxFetches {
		assert.NilError(t, <-errs)
	}
	_, err = client.Fetch(context.Background(), addr, mirror.FetchRequest{Topic: "x"})
	assert.NilError(t, err)
}
