package crash_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/crash"
)

func TestListed(t *testing.T) {
	soon, late := begin.Add(time.Minute), begin.Add(time.Hour)
	one := core.Suspect{Fingerprint: 7, Crashes: 1, ExpiresAt: soon}
	two := core.Suspect{Fingerprint: 7, Crashes: 2, ExpiresAt: late}
	tests := []struct {
		name string
		told [][]core.Suspect
		want []core.Suspect
	}{
		{"nothing", nil, nil},
		{"one crash", [][]core.Suspect{{one}}, nil},
		{"two crashes", [][]core.Suspect{{two}}, []core.Suspect{two}},
		{"one crash at each of two nodes", [][]core.Suspect{{one}, {one}}, []core.Suspect{{Fingerprint: 7, Crashes: 2, ExpiresAt: soon}}},
		{"three in all", [][]core.Suspect{{two}, {one}}, []core.Suspect{{Fingerprint: 7, Crashes: 3, ExpiresAt: late}}},
		{"one crash of each of two requests", [][]core.Suspect{{one, {Fingerprint: 8, Crashes: 1, ExpiresAt: soon}}}, nil},
		{"cleared", [][]core.Suspect{{{Fingerprint: 7, ExpiresAt: late, Cleared: true}}}, nil},
		{"cleared after two crashes", [][]core.Suspect{{{Fingerprint: 7, Crashes: 2, ExpiresAt: late, Cleared: true}}}, nil},
		{"over", [][]core.Suspect{{{Fingerprint: 7, Crashes: 2, ExpiresAt: begin}}}, nil},
		{"by print", [][]core.Suspect{{{Fingerprint: 9, Crashes: 2, ExpiresAt: soon}, two}}, []core.Suspect{two, {Fingerprint: 9, Crashes: 2, ExpiresAt: soon}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.DeepEqual(t, crash.Listed(begin, tt.told...), tt.want)
		})
	}
}

// TestListedDecides lists what a book that was told the same refuses.
func TestListedDecides(t *testing.T) {
	boo, peer := newBook(), newBook()
	for _, bok := range []*crash.Book{boo, peer} {
		bok.Running(7, "g1")
		bok.Lost(begin, "g1")
		bok.Stopped(7, "g1")
	}
	assert.Equal(t, len(crash.Listed(begin, boo.Export(begin))), 0)
	boo.Merge("n2", peer.Export(begin), begin)
	assert.Equal(t, boo.Decide(7, begin).Verdict, crash.Quarantined)
	got := crash.Listed(begin, boo.Export(begin), peer.Export(begin))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Fingerprint, uint64(7))
}
