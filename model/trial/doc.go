// Package trial simulates recorded arrivals with admission, routing and a model
// of a zone's backend servers, and measures the service that each organisation
// receives.
//
// Each entry VM of a trial has its own admit.Controller and chooser. It receives
// the load reports and cache events of all groups, but counts only its own
// in-flight requests. A request is cancelled at its deadline and not retried. A
// trial is deterministic: the same arrivals and Config give the same Result.
package trial
