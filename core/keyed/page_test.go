package keyed_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core/keyed"
	"kumquathinge/core/site"
)

// TestCut reads a topic page by page and checks that each record is
// returned exactly once and that each page continues where the last one ended.
func TestCut(t *testing.T) {
	var recs []site.Record
	for num := range 100 {
		recs = append(recs, site.Record{Key: fmt.Sprint("key", num), Value: make([]byte, 1+num), Offset: int64(7 * (99 - num))})
	}
	const end = 1000
	seen := map[string]int{}
	pages := 0
	for from := int64(0); from < end; pages++ {
		var rest []site.Record
		for _, rec := range recs {
			if rec.Offset >= from {
				rest = append(rest, rec)
			}
		}
		page := keyed.Page{Records: rest, End: site.Position{Offset: end}}.Cut(300)
		assert.Assert(t, page.End.Offset > from)
		for _, rec := range page.Records {
			assert.Assert(t, rec.Offset >= from && rec.Offset < page.End.Offset)
			seen[rec.Key]++
		}
		from = page.End.Offset
	}
	assert.Equal(t, len(seen), len(recs))
	for key, count := range seen {
		assert.Equal(t, count, 1, key)
	}
	assert.Assert(t, pages > 10, "%d pages", pages)
}

// TestCutLargeRecord checks that a record larger than the page limit is
// returned as a page of its own.
func TestCutLargeRecord(t *testing.T) {
	page := keyed.Page{Records: []site.Record{{Key: "a", Value: make([]byte, 500), Offset: 4}, {Key: "b", Offset: 9}}, End: site.Position{Offset: 10}}.Cut(300)
	assert.Equal(t, len(page.Records), 1)
	assert.Equal(t, page.End, site.Position{Offset: 9})
	assert.Assert(t, page.More)
}
