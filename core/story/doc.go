// Package story picks out of the log lines of several nodes those that tell
// what became of one request: the lines that name it, and what the nodes
// believed about its servers and groups at the time.
package story
