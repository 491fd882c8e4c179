// Package story selects from the logs of several nodes the lines that show how
// one request was handled: the lines that name it, and the state of its
// servers, groups and nodes at that time.
package story
