package order_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/order"
)

// The engine ignores fencing numbers, so the right to send ends a lease after
// the sender last confirmed its view.
func ExampleUntil() {
	req := order.Request{Confirmed: time.Now(), Lease: 20 * time.Second}
	req.AssignedSeen = req.Confirmed.Add(-time.Minute)
	req.Now = time.Now() // right before the send
	fmt.Println(order.May(req))
	end, _ := order.Until(req)
	fmt.Println(end.Sub(req.Confirmed))
	req.Now = req.Now.Add(time.Minute) // the process was suspended before the next order
	fmt.Println(uint16(core.CodeOf(order.May(req))))
	// Output:
	// <nil>
	// 20s
	// 505
}
