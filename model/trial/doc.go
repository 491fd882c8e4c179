// Package trial runs recorded arrivals through admission, the choice of a
// group and the model of a zone's backend servers, and measures what the
// organisations get.
//
// The entry VMs of a trial each have their own admit.Machine and chooser. They
// see the load reports and cache events of all groups but only their own
// requests in flight. A caller leaves at its deadline, which cancels its
// request, and doesn't try again. All is deterministic: the same arrivals and
// Config give the same Result.
package trial
