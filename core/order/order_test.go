package order_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/order"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ago(dur time.Duration) time.Time { return now.Add(-dur) }

func ExampleCheckSend() {
	req := order.Request{ConfirmedAt: ago(time.Second), AssignmentSeenAt: ago(time.Minute), Now: now, Lease: 5 * time.Second}
	fmt.Println(order.CheckSend(req))
	req.Now = now.Add(time.Hour) // the node was suspended
	fmt.Println(core.CodeOf(order.CheckSend(req)) == core.CodeNotConfirmed)
	// Output:
	// <nil>
	// true
}

func TestCheckSend(t *testing.T) {
	const lease = 5 * time.Second
	tests := []struct {
		name      string
		fencing   bool
		confirmed time.Time
		seen      time.Time
		lease     time.Duration
		want      core.Code
	}{
		{"no check with fencing", true, time.Time{}, time.Time{}, 0, core.CodeOK},
		{"confirmed, old lease expired", false, ago(time.Second), ago(lease), lease, core.CodeOK},
		{"confirmed just within the lease", false, ago(lease - 1), ago(time.Hour), lease, core.CodeOK},
		{"confirmed a lease ago", false, ago(lease), ago(time.Hour), lease, core.CodeNotConfirmed},
		{"confirmed in the future", false, now.Add(1), ago(time.Hour), lease, core.CodeNotConfirmed},
		{"never confirmed", false, time.Time{}, ago(time.Hour), lease, core.CodeNotConfirmed},
		{"old lease not expired", false, now, ago(lease - 1), lease, core.CodeNotConfirmed},
		{"assignment not seen", false, now, time.Time{}, lease, core.CodeNotConfirmed},
		{"no lease", false, now, ago(time.Hour), 0, core.CodeNotConfirmed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req := order.Request{SupportsFencing: tt.fencing, ConfirmedAt: tt.confirmed, AssignmentSeenAt: tt.seen, Now: now, Lease: tt.lease}
			assert.Equal(t, core.CodeOf(order.CheckSend(req)), tt.want)
			end, ends := order.Deadline(req)
			assert.Equal(t, ends, !tt.fencing)
			if ends {
				assert.Assert(t, end.Equal(tt.confirmed.Add(tt.lease)))
			}
		})
	}
}
