package share_test

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

// FuzzLimitReport applies reports of limits, well-formed or not. None may end the
// process, nor let a node send more than its own limit allows.
func FuzzLimitReport(fuzz *testing.F) {
	for _, reports := range []map[string]share.LimitReport{
		{},
		{"s": {StartMillis: 1, PerSecond: 3, Age: time.Second}},
		{"s": {StartMillis: 1 << 62, PerSecond: math.NaN(), Age: -1 << 63}, "": {PerSecond: math.Inf(1)}},
		{"s": {PerSecond: math.MaxFloat64}, "t": {PerSecond: math.SmallestNonzeroFloat64, Age: 1<<63 - 1}},
	} {
		raw, err := cbor.Marshal(reports)
		assert.NilError(fuzz, err)
		fuzz.Add(raw)
	}
	fuzz.Fuzz(func(t *testing.T, raw []byte) {
		var reports map[string]share.LimitReport
		if cbor.Unmarshal(raw, &reports) != nil {
			return
		}
		bal := share.NewBalancer("z1")
		srvs := []*site.Server{{ID: "s", StartMillis: 1}, {ID: "t"}}
		for step := range 3 {
			now := start.Add(time.Duration(step) * time.Second)
			bal.UpdateLimits(reports, now)
			bal.SetNodes("n", []share.NodeDemand{{Node: "n"}, {Node: "m", PerSecond: 1}}, now)
			bal.RequestSent("s", 0, now)
			bal.Choose(srvs, func(*site.Server) int { return 10 }, nil, now)
			bal.RecordLimit("s", 1, 2, now)
			assert.Assert(t, len(bal.Limits(now)) <= 64)
		}
	})
}
