package order_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/order"
)

// The engine ignores fencing tokens, so the right to send expires one lease
// duration after the sender last confirmed its view.
func ExampleDeadline() {
	req := order.Request{ConfirmedAt: time.Now(), Lease: 20 * time.Second}
	req.AssignmentSeenAt = req.ConfirmedAt.Add(-time.Minute)
	req.Now = time.Now() // right before the send
	fmt.Println(order.CheckSend(req))
	end, _ := order.Deadline(req)
	fmt.Println(end.Sub(req.ConfirmedAt))
	req.Now = req.Now.Add(time.Minute) // the process was suspended before the next order
	fmt.Println(uint16(core.CodeOf(order.CheckSend(req))))
	// Output:
	// <nil>
	// 20s
	// 505
}
