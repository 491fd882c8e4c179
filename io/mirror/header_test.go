package mirror_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core/keyed"
	"kumquathinge/core/site"
	"kumquathinge/io/mirror"
	"kumquathinge/stand"
)

// recordSource has one record.
type recordSource struct{}

func (recordSource) Page(mirror.FetchRequest) (keyed.Page, bool) {
	return keyed.Page{Records: []site.Record{{Key: "k", Offset: 1}}, End: site.Position{Offset: 2}}, true
}

// TestInvalidHeaders guards against an answer of another entry VM with an invalid status or
// an invalid header that counts as records of the store.
func TestInvalidHeaders(t *testing.T) {
	fetch := func(edit func(lines, body string) string) (keyed.Page, error) {
		srv, err := stand.StartEdited(mirror.Handler(recordSource{}), edit)
		assert.NilError(t, err)
		defer srv.Close()
		return mirror.NewClient(time.Second).Fetch(t.Context(), srv.Addr(), mirror.FetchRequest{Topic: "x"})
	}
	page, err := fetch(stand.ValidAnswer)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records), 1)
	for what := range stand.InvalidHeaders("", "") {
		_, err = fetch(func(lines, body string) string { return stand.InvalidHeaders(lines, body)[what] })
		assert.Check(t, err != nil, what)
	}
}
