package node_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/node"
)

// FuzzParseConfig checks that a start file is refused with its code or names
// its node and zone. It leaves out the listen addresses, whose check asks the
// system's resolver.
func FuzzParseConfig(fzz *testing.F) {
	fzz.Add([]byte(`{}`))
	fzz.Add([]byte(`{"node":"n1","zone":"z1"}{}`))
	fzz.Add([]byte(`{"node":"n1","zone":"z1","log":"http://[::1]:%"}`))
	fzz.Fuzz(func(t *testing.T, data []byte) {
		if bytes.Contains(bytes.ToLower(data), []byte("listen")) {
			return
		}
		cfg, err := node.ParseConfig(data)
		if err != nil {
			assert.Equal(t, core.CodeOf(err), core.CodeConfigInvalid)
			return
		}
		assert.Assert(t, cfg.Node != "" && cfg.Zone != "")
	})
}
