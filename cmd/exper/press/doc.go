// Package press sends completions at a steady rate to an entry VM, or straight
// to a model engine, and measures the times to the first token, between tokens
// and to the end.
//
// Requests start at their planned times whether or not earlier ones have
// ended, and times count from the plan, so that a slow server can't hide its
// queue. An answer counts as whole only with its end mark.
package press
