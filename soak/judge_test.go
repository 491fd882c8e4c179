package soak_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/platform/platfk"
	"kumquathinge/soak"
)

// TestExcuses judges requests that differ from a lost one in one point each. It guards
// against excuses that hold for more than the rules allow.
func TestExcuses(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	// A stream is sent 2 s after SIGTERM and cut 1.5 s before the end of the grace. Its
	// server ended its work a second before.
	lost := func() soak.Evidence {
		return soak.Evidence{
			SentAt: at(2), EndedAt: at(6.5), Deadline: 8 * time.Second, Read: true, PassedOn: true, Kept: true, WorkedUntil: at(5.5),
			Terms: []time.Time{at(0)}, Grace: 8 * time.Second,
		}
	}
	tests := []struct {
		name    string
		change  func(ev *soak.Evidence)
		planned soak.Excuse
	}{
		{"lost", func(*soak.Evidence) {}, soak.NoExcuse},
		{"answered", func(ev *soak.Evidence) { ev.Answered = true }, soak.ExcuseAnswered},
		{"cancelled", func(ev *soak.Evidence) { ev.Cancelled = true }, soak.ExcuseCancelled},
		{"unread", func(ev *soak.Evidence) { ev.Read, ev.PassedOn = false, false }, soak.ExcuseUnread},
		{"unread in a calm run", func(ev *soak.Evidence) {
			ev.Read, ev.PassedOn, ev.Connected, ev.Calm, ev.Terms = false, false, true, true, nil
		}, soak.NoExcuse},
		{"unread in a stop of a calm run", func(ev *soak.Evidence) { ev.Read, ev.PassedOn, ev.Connected, ev.Calm = false, false, true, true }, soak.ExcuseUnread},
		{"unread on a connection to a process that has ended", func(ev *soak.Evidence) {
			ev.Read, ev.PassedOn, ev.Connected, ev.Calm, ev.Terms, ev.OpenedAt = false, false, true, true, []time.Time{at(-10)}, at(-9)
			ev.Lives = []soak.Period{{From: at(-20), To: at(-8)}, {From: at(-8)}}
		}, soak.ExcuseUnread},
		{"unread on a connection to the process that runs", func(ev *soak.Evidence) {
			ev.Read, ev.PassedOn, ev.Connected, ev.Calm, ev.Terms, ev.OpenedAt = false, false, true, true, []time.Time{at(-10)}, at(-7)
			ev.Lives = []soak.Period{{From: at(-20), To: at(-8)}, {From: at(-8)}}
		}, soak.NoExcuse},
		{"refused in a stop", func(ev *soak.Evidence) {
			ev.Read, ev.PassedOn, ev.Calm, ev.EndedAt, ev.Lives = false, false, true, at(2), []soak.Period{{From: at(-10), To: at(3.1)}}
		}, soak.NoExcuse},
		{"refused right before the end", func(ev *soak.Evidence) {
			ev.Read, ev.PassedOn, ev.Calm, ev.EndedAt, ev.Lives = false, false, true, at(2), []soak.Period{{From: at(-10), To: at(2.9)}}
		}, soak.ExcuseUnread},
		{"refused right after the start", func(ev *soak.Evidence) {
			ev.Read, ev.PassedOn, ev.Calm, ev.EndedAt, ev.Lives = false, false, true, at(2), []soak.Period{{From: at(0.1)}}
		}, soak.ExcuseUnread},
		{"not connected in a calm run", func(ev *soak.Evidence) { ev.Read, ev.PassedOn, ev.Calm, ev.Terms = false, false, true, nil }, soak.ExcuseUnread},
		{"read and kept for long", func(ev *soak.Evidence) { ev.PassedOn = false }, soak.NoExcuse},
		{"read and closed at once", func(ev *soak.Evidence) { ev.PassedOn, ev.EndedAt = false, at(2.15) }, soak.ExcuseCrossed},
		{"passed on and closed at once", func(ev *soak.Evidence) { ev.EndedAt = at(2.15) }, soak.NoExcuse},
		{"server broke off", func(ev *soak.Evidence) { ev.ServerFailed = true }, soak.ExcuseServer},
		{"just before the deadline", func(ev *soak.Evidence) { ev.Deadline = 4600 * time.Millisecond }, soak.NoExcuse},
		{"deadline", func(ev *soak.Evidence) { ev.Deadline = 4500 * time.Millisecond }, soak.ExcuseDeadline},
		{"cut late, server had ended", func(ev *soak.Evidence) { ev.EndedAt = at(7.5) }, soak.NoExcuse},
		{"cut late, server at work", func(ev *soak.Evidence) { ev.EndedAt, ev.WorkedUntil = at(7.5), at(7.5) }, soak.ExcuseWorking},
		{"cut late, server still at work", func(ev *soak.Evidence) { ev.EndedAt, ev.WorkedUntil = at(7.5), time.Time{} }, soak.ExcuseWorking},
		{"cut early, server at work", func(ev *soak.Evidence) { ev.EndedAt, ev.WorkedUntil = at(6.5), at(6.5) }, soak.NoExcuse},
		{"sent late, server at work", func(ev *soak.Evidence) { ev.SentAt, ev.EndedAt, ev.WorkedUntil = at(3.1), at(7.5), at(7.5) }, soak.NoExcuse},
		{"disruption in the window before", func(ev *soak.Evidence) { ev.Disruptions = []soak.Period{{From: at(-2), To: at(-0.9)}} }, soak.ExcuseDisruption},
		{"disruption before the window", func(ev *soak.Evidence) { ev.Disruptions = []soak.Period{{From: at(-2), To: at(-1.1)}} }, soak.NoExcuse},
		{"disruption that lasts", func(ev *soak.Evidence) { ev.Disruptions = []soak.Period{{From: at(6)}} }, soak.ExcuseDisruption},
		{"disruption after the end", func(ev *soak.Evidence) { ev.Disruptions = []soak.Period{{From: at(6.6)}} }, soak.NoExcuse},
		{"cut off in the window before", func(ev *soak.Evidence) { ev.Cuts = []soak.Period{{From: at(-2), To: at(-0.9)}} }, soak.ExcuseDisruption},
		{"cut off before the window", func(ev *soak.Evidence) { ev.Cuts = []soak.Period{{From: at(-2), To: at(-1.1)}} }, soak.NoExcuse},
		{"no planned work", func(ev *soak.Evidence) { ev.Terms = nil }, soak.ExcuseUnplanned},
		{"no planned work in a calm run", func(ev *soak.Evidence) { ev.Terms, ev.Calm = nil, true }, soak.NoExcuse},
		{"reload before", func(ev *soak.Evidence) { ev.Terms, ev.Reloads = nil, []time.Time{at(0.5)} }, soak.NoExcuse},
		{"reload long before", func(ev *soak.Evidence) { ev.Terms, ev.Reloads = nil, []time.Time{at(-0.1)} }, soak.ExcuseUnplanned},
		{"reload after the end", func(ev *soak.Evidence) { ev.Terms, ev.Reloads = nil, []time.Time{at(6.6)} }, soak.ExcuseUnplanned},
		{"configuration before", func(ev *soak.Evidence) { ev.Terms, ev.Configs = nil, []time.Time{at(-0.9)} }, soak.NoExcuse},
		{"configuration long before", func(ev *soak.Evidence) { ev.Terms, ev.Configs = nil, []time.Time{at(-1.1)} }, soak.ExcuseUnplanned},
		{"configuration, late in the request", func(ev *soak.Evidence) { ev.Terms, ev.Configs, ev.Deadline = nil, []time.Time{at(1)}, 6*time.Second }, soak.ExcuseUnplanned},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ev := lost()
			tt.change(&ev)
			assert.Equal(t, ev.Planned(), tt.planned)
		})
	}
	t.Run("kept connections", func(t *testing.T) {
		ev := lost()
		assert.Equal(t, ev.Anytime(), soak.ExcuseDisruption, "around SIGTERM")
		ev.Terms = nil
		assert.Equal(t, ev.Anytime(), soak.NoExcuse)
		ev.Cuts = []soak.Period{{From: at(6)}}
		assert.Equal(t, ev.Anytime(), soak.NoExcuse, "cut off, without an answer")
		ev.Begun = true
		assert.Equal(t, ev.Anytime(), soak.ExcuseServer, "cut off while a response arrived")
		ev.Cuts = []soak.Period{{From: at(-1), To: at(1.9)}}
		assert.Equal(t, ev.Anytime(), soak.NoExcuse, "cut off before")
		ev.Cuts, ev.Begun = nil, false
		ev.Kept = false
		assert.Equal(t, ev.Anytime(), soak.ExcuseNew)
	})
}

// TestColdViolations guards against a check of cold servers that blames nodes for requests
// which they sent before they could know, and against one that overlooks a crash or a rate
// after that.
func TestColdViolations(t *testing.T) {
	begin := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	// requests returns num requests within 400 ms to a server that has been cold for the time.
	requests := func(num int, coldFor time.Duration, crashes bool) []platfk.ReceivedRequest {
		var out []platfk.ReceivedRequest
		for idx := range num {
			after := time.Duration(idx) * 400 * time.Millisecond / time.Duration(num)
			out = append(out, platfk.ReceivedRequest{ReceivedAt: begin.Add(after), Cold: true, ColdFor: coldFor + after, Crashed: crashes && idx == num-1})
		}
		return out
	}
	for _, tt := range []struct {
		name    string
		reqs    []platfk.ReceivedRequest
		faulty  bool
		reports int
	}{
		{"few requests", requests(8, 2*time.Second, false), false, 0},
		{"too many requests", requests(9, 2*time.Second, false), false, 1},
		{"crash before the notice", requests(25, time.Second, true), false, 0},
		{"crash after the notice", requests(25, 3*time.Second, true), false, 2},
		{"crash by few requests", requests(3, 3*time.Second, true), false, 1},
		{"crash with a faulty store", requests(25, 3*time.Second, true), true, 0},
	} {
		got := soak.ColdViolations(tt.reqs, func(time.Time) bool { return tt.faulty })
		assert.Equal(t, len(got), tt.reports, "%s: %v", tt.name, got)
	}
}

// TestCutCount judges first tries beside the bounds. It guards against a judge that
// overlooks callers of cut-off nodes who are served far worse, or reports a few failures.
func TestCutCount(t *testing.T) {
	for _, tt := range []struct {
		name        string
		cut, others soak.TryCount
		violation   bool
	}{
		{"none served", soak.TryCount{Sent: 100}, soak.TryCount{Sent: 300, Served: 290}, true},
		{"all served", soak.TryCount{Sent: 100, Served: 100}, soak.TryCount{Sent: 300, Served: 300}, false},
		{"two thirds as often", soak.TryCount{Sent: 90, Served: 60}, soak.TryCount{Sent: 300, Served: 300}, false},
		{"less than two thirds as often", soak.TryCount{Sent: 90, Served: 59}, soak.TryCount{Sent: 300, Served: 300}, true},
		{"as seldom as the others", soak.TryCount{Sent: 90, Served: 20}, soak.TryCount{Sent: 300, Served: 100}, false},
		{"few failures", soak.TryCount{Sent: 20, Served: 2}, soak.TryCount{Sent: 380, Served: 380}, false},
		{"one failure more", soak.TryCount{Sent: 20, Served: 1}, soak.TryCount{Sent: 380, Served: 380}, true},
		{"no first tries there", soak.TryCount{}, soak.TryCount{Sent: 300, Served: 300}, false},
		{"none elsewhere", soak.TryCount{Sent: 100}, soak.TryCount{}, false},
	} {
		got := soak.CutCount{Cut: tt.cut, Others: tt.others}.Judge()
		assert.Equal(t, got != "", tt.violation, "%s: %s", tt.name, got)
	}
}
