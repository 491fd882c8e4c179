// Package vms reads the platform's list of live and leaving VMs over HTTP. It
// implements core.VMLister.
package vms
