// Package logts holds the conformance tests of core.Log. Every implementation
// runs them:
//
//	func TestConformance(t *testing.T) {
//		logts.Test(t, func(t *testing.T) logts.Fixture {
//			...
//		})
//	}
//
// A case that needs a fault which the fixture can't bring about is left out of
// the run of that fixture.
package logts
