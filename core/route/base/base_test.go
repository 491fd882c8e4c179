package base_test

import (
	"testing"

	"kumquathinge/core"
	"kumquathinge/core/chsts"
	"kumquathinge/core/route/base"
)

func TestConformance(t *testing.T) {
	tests := []struct {
		name string
		make func() core.Chooser
	}{
		{"round robin", func() core.Chooser { return new(base.RoundRobin) }},
		{"least loaded", func() core.Chooser { return base.LeastLoaded{} }},
		{"random", func() core.Chooser { return base.Random{} }},
		{"strict", func() core.Chooser { return base.Rendezvous{} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { chsts.Run(t, tt.make) })
	}
}
