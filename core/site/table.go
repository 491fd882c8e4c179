package site

import (
	"slices"
	"sort"
	"strings"
)

// Table is an immutable index of one version of the configuration.
type Table struct {
	cfg           *Config
	routesByHost  map[string][]*Route
	orgByKey      map[string]*Org
	serviceByName map[string]*Service
	modelByName   map[string]*Model
	// priorityByOrg holds the organisations with a priority of their own, urgencies
	// the urgencies of the requests that lead to each service.
	priorityByOrg map[string]int
	urgencies     map[string][]int
	contended     bool
}

// NewTable returns the index of cfg.
func NewTable(cfg *Config) *Table {
	tbl := &Table{
		cfg:           cfg,
		routesByHost:  map[string][]*Route{},
		orgByKey:      map[string]*Org{},
		serviceByName: map[string]*Service{},
		modelByName:   map[string]*Model{},
		priorityByOrg: orgPriorities(cfg),
		urgencies:     serviceUrgencies(cfg),
	}
	for idx := range cfg.Routes {
		route := &cfg.Routes[idx]
		tbl.routesByHost[route.Host] = append(tbl.routesByHost[route.Host], route)
	}
	for _, routes := range tbl.routesByHost {
		sort.SliceStable(routes, func(one, two int) bool { return len(routes[one].Prefix) > len(routes[two].Prefix) })
	}
	for idx := range cfg.Orgs {
		for _, key := range cfg.Orgs[idx].Keys {
			tbl.orgByKey[key] = &cfg.Orgs[idx]
		}
	}
	for idx := range cfg.Services {
		svc := &cfg.Services[idx]
		tbl.serviceByName[svc.Name] = svc
		if svc.Engine == nil {
			continue
		}
		for pos := range svc.Engine.Models {
			tbl.modelByName[svc.Engine.Models[pos].Name] = &svc.Engine.Models[pos]
		}
	}
	tbl.contended = slices.ContainsFunc(cfg.Services, func(svc Service) bool { return svc.Engine != nil && tbl.Levels(svc.Name) != nil })
	return tbl
}

// Config returns the configuration.
func (tbl *Table) Config() *Config { return tbl.cfg }

// Version returns the version of the configuration.
func (tbl *Table) Version() int64 { return tbl.cfg.Version }

// Route returns the route of the host with the longest matching path prefix, or
// nil.
func (tbl *Table) Route(host, path string) *Route {
	for _, route := range tbl.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Org returns the organisation that owns the API key, or nil.
func (tbl *Table) Org(key string) *Org { return tbl.orgByKey[key] }

// AuthDisabled reports whether the configuration lists no organisations, so
// that requests need no API key.
func (tbl *Table) AuthDisabled() bool { return len(tbl.cfg.Orgs) == 0 }

// Service returns the named service, or nil.
func (tbl *Table) Service(name string) *Service { return tbl.serviceByName[name] }

// Model returns the named model, or nil.
func (tbl *Table) Model(name string) *Model { return tbl.modelByName[name] }
