// Package opcli implements kumctl, the command line for operators. It is a
// client of package oper on one or more entry VMs.
//
// If a server is unreachable or could not accept a change, the next one is
// tried. A change is sent to all servers with the same ID, so that it takes
// effect at most once even if requests or responses are lost.
package opcli
