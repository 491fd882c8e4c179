package mirror_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core/keyed"
	"kumquathinge/io/mirror"
)

// blockingSource is a source that blocks each request until release is closed.
type blockingSource struct {
	requested chan struct{}
	release   chan struct{}
}

func (src blockingSource) Page(mirror.FetchRequest) (keyed.Page, bool) {
	src.requested <- struct{}{}
	<-src.release
	return keyed.Page{}, true
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
