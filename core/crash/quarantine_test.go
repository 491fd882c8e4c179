package crash_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/crash"
)

func TestQuarantinedRequests(t *testing.T) {
	early, late := startTime.Add(time.Minute), startTime.Add(time.Hour)
	one := core.Suspect{Fingerprint: 7, Crashes: 1, ExpiresAt: early}
	two := core.Suspect{Fingerprint: 7, Crashes: 2, ExpiresAt: late}
	tests := []struct {
		name    string
		reports [][]core.Suspect
		want    []core.Suspect
	}{
		{"nothing", nil, nil},
		{"one crash", [][]core.Suspect{{one}}, nil},
		{"two crashes", [][]core.Suspect{{two}}, []core.Suspect{two}},
		{"one crash at each of two nodes", [][]core.Suspect{{one}, {one}}, []core.Suspect{{Fingerprint: 7, Crashes: 2, ExpiresAt: early}}},
		{"three crashes in total", [][]core.Suspect{{two}, {one}}, []core.Suspect{{Fingerprint: 7, Crashes: 3, ExpiresAt: late}}},
		{"one crash of each of two requests", [][]core.Suspect{{one, {Fingerprint: 8, Crashes: 1, ExpiresAt: early}}}, nil},
		{"cleared", [][]core.Suspect{{{Fingerprint: 7, ExpiresAt: late, Cleared: true}}}, nil},
		{"cleared after two crashes", [][]core.Suspect{{{Fingerprint: 7, Crashes: 2, ExpiresAt: late, Cleared: true}}}, nil},
		{"expired", [][]core.Suspect{{{Fingerprint: 7, Crashes: 2, ExpiresAt: startTime}}}, nil},
		{"sorted by fingerprint", [][]core.Suspect{{{Fingerprint: 9, Crashes: 2, ExpiresAt: early}, two}}, []core.Suspect{two, {Fingerprint: 9, Crashes: 2, ExpiresAt: early}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.DeepEqual(t, crash.QuarantinedRequests(startTime, tt.reports...), tt.want)
		})
	}
}

// TestQuarantinedRequestsMatchDecide checks that the list has the requests that
// a Tracker with the same reports refuses.
func TestQuarantinedRequestsMatchDecide(t *testing.T) {
	tr, peer := newTracker(), newTracker()
	for _, each := range []*crash.Tracker{tr, peer} {
		each.Started(7, "g1")
		each.GroupsLost(startTime, "g1")
		each.Stopped(7, "g1")
	}
	assert.Equal(t, len(crash.QuarantinedRequests(startTime, tr.Export(startTime))), 0)
	tr.UpdatePeer("n2", peer.Export(startTime), startTime)
	assert.Equal(t, tr.Decide(7, startTime).Disposition, crash.Quarantined)
	got := crash.QuarantinedRequests(startTime, tr.Export(startTime), peer.Export(startTime))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Fingerprint, uint64(7))
}
