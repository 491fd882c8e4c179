// Package logts provides the conformance tests of core.Log. Every implementation
// runs them:
//
//	func TestConformance(t *testing.T) {
//		logts.Test(t, func(t *testing.T) logts.Fixture {
//			...
//		})
//	}
//
// Test does not run a case that requires a fault which the fixture can't inject.
package logts
