package site

import (
	"sort"
	"strings"
)

// Table answers look-ups in one version of the configuration. It is immutable.
type Table struct {
	cfg    *Config
	hosts  map[string][]*Route
	orgs   map[string]*Org
	svcs   map[string]*Service
	models map[string]*Model
}

// NewTable returns a table of cfg.
func NewTable(cfg *Config) *Table {
	tab := &Table{
		cfg:    cfg,
		hosts:  map[string][]*Route{},
		orgs:   map[string]*Org{},
		svcs:   map[string]*Service{},
		models: map[string]*Model{},
	}
	for idx := range cfg.Routes {
		rou := &cfg.Routes[idx]
		tab.hosts[rou.Host] = append(tab.hosts[rou.Host], rou)
	}
	for _, rts := range tab.hosts {
		sort.SliceStable(rts, func(one, two int) bool { return len(rts[one].Prefix) > len(rts[two].Prefix) })
	}
	for idx := range cfg.Orgs {
		for _, key := range cfg.Orgs[idx].Keys {
			tab.orgs[key] = &cfg.Orgs[idx]
		}
	}
	for idx := range cfg.Services {
		svc := &cfg.Services[idx]
		tab.svcs[svc.Name] = svc
		if svc.Engine == nil {
			continue
		}
		for pos := range svc.Engine.Models {
			tab.models[svc.Engine.Models[pos].Name] = &svc.Engine.Models[pos]
		}
	}
	return tab
}

// Config returns the configuration.
func (tab *Table) Config() *Config { return tab.cfg }

// Version returns the version of the configuration.
func (tab *Table) Version() int64 { return tab.cfg.Version }

// Route returns the route of the host with the longest prefix of path, or nil.
func (tab *Table) Route(host, path string) *Route {
	for _, rou := range tab.hosts[host] {
		if strings.HasPrefix(path, rou.Prefix) {
			return rou
		}
	}
	return nil
}

// Org returns the organisation that holds the key, or nil.
func (tab *Table) Org(key string) *Org { return tab.orgs[key] }

// Keyless reports whether the configuration names no organisations, so that
// requests need no key.
func (tab *Table) Keyless() bool { return len(tab.cfg.Orgs) == 0 }

// Service returns the service of the name, or nil.
func (tab *Table) Service(name string) *Service { return tab.svcs[name] }

// Model returns the model of the name, or nil.
func (tab *Table) Model(name string) *Model { return tab.models[name] }
