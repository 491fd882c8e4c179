package site_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core/site"
)

func table() *site.Table {
	return site.NewTable(&site.Config{
		Version: 3,
		Routes: []site.Route{
			{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "o", Prefix: "/"},
		},
		Services: []site.Service{{Name: "s", Engine: &site.Engine{Models: []site.Model{{Name: "m", Size: 2}}}}},
		Orgs:     []site.Org{{Name: "org", Keys: []string{"k"}}},
	})
}

func TestRoute(t *testing.T) {
	tab := table()
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/b": "short", "/a": "", "/b/": ""} {
		rou := tab.Route("h", path)
		got := ""
		if rou != nil {
			got = rou.Name
		}
		assert.Equal(t, got, want, path)
	}
	assert.Equal(t, tab.Route("o", "/x").Name, "other")
	assert.Assert(t, tab.Route("unknown", "/a/x") == nil)
	assert.Assert(t, !tab.Keyless())
}

func member(id string, rank int, sta site.GroupState) *site.Server {
	return &site.Server{ID: id, Service: "s", Domain: "d", Model: "m", Group: site.Membership{Name: "g", Epoch: 1, Rank: rank, State: sta}}
}

// TestHeads holds which heads get requests against the states of the members.
func TestHeads(t *testing.T) {
	leaving := member("a", 0, site.GroupOpen)
	leaving.Draining = true
	tests := []struct {
		name     string
		members  []*site.Server
		complete bool
		heads    int
	}{
		{"open", []*site.Server{member("a", 0, site.GroupOpen), member("b", 1, site.GroupReady)}, true, 1},
		{"not open", []*site.Server{member("a", 0, site.GroupReady), member("b", 1, site.GroupReady)}, true, 0},
		{"closing", []*site.Server{member("a", 0, site.GroupClosing), member("b", 1, site.GroupReady)}, true, 0},
		{"head missing", []*site.Server{member("b", 1, site.GroupReady)}, false, 0},
		{"entry of a member missing", []*site.Server{member("a", 0, site.GroupOpen)}, false, 1},
		{"head leaves", []*site.Server{leaving, member("b", 1, site.GroupReady)}, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srvs := map[string]*site.Server{}
			for _, mem := range tt.members {
				srvs[mem.ID] = mem
			}
			vie := site.NewView(srvs, table())
			assert.Equal(t, len(vie.Groups()), 1)
			assert.Equal(t, vie.Groups()[0].Complete(), tt.complete)
			assert.Equal(t, len(vie.Heads("s", "m")), tt.heads)
		})
	}
}
