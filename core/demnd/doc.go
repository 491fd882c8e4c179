// Package demnd keeps the demand of the callers of each model over all entry VMs,
// for the allocation of servers to models.
//
// Demand comes and goes with periods of 8 to 20 s, while a load takes 12 to 16 s. A
// crest can therefore not be followed: a server that starts a load when the crest
// begins is ready in the trough after it. A Tracker keeps the demand of the last
// periods and returns its crest, which is provided for as long as it comes back.
//
// A Tracker is a state machine without a clock. Nothing is returned for a model until
// it has been observed for about a period, and none once reports stop, so that the
// planner then falls back to the utilisation of groups.
package demnd
