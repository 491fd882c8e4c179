// Package opcli is the operators' command line, which program kumctl runs. It
// talks to the operators' interface of one or more entry VMs.
//
// A server that can't be reached, or that could not accept a change, is
// followed by the next one. A change carries an ID that stays the same over
// all servers, so that it takes effect once whatever was lost on the way.
package opcli
