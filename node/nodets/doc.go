// Package nodets runs entry VMs and the stand-ins of the systems around them
// in one process on loopback, for end-to-end tests.
//
// A System has 3 availability zones: two entry VMs in the first and one in
// each other, 4 engines in 2 fabric domains per zone, and a plain service in
// the first zone. Tests wait for conditions and never for fixed times.
package nodets
