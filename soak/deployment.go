package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"kumquathinge/core/site"
	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// Names, sizes and time limits of the deployment.
const (
	requestHost   = "soak.example"
	orgID         = "org-a"
	apiKey        = "key-of-org-a"
	modelName     = "m1"
	engineService = "engines"
	plainService  = "plain"
	groupSize     = 2
	// slotsPerGroup is the batch size of a group.
	slotsPerGroup = 26
	// stopGrace is the time that a node may take to stop.
	stopGrace = 8 * time.Second
	// maxConfigDelay is the time within which a new configuration must be in force.
	maxConfigDelay = 2 * time.Second
	// readinessInterval is the interval of the readiness checks that a load
	// balancer would make.
	readinessInterval = 500 * time.Millisecond
	// unreadyThreshold is the number of consecutive failed readiness checks
	// after which a node leaves the rotation.
	unreadyThreshold = 2
)

// deployment is the system under test: entry nodes, store and backend servers.
type deployment struct {
	options Options
	profile *Profile
	store   *platfk.Store
	nodes   []*Node

	mu          sync.Mutex
	servers     []*server
	version     int64
	serverCount int
	// config is the newest configuration, copies are copies of the store.
	config []byte
	copies []platfk.StoreCopy
	// configTimes are the times at which configurations were written, groupViolations
	// the members that were ordered out of groups that serve.
	configTimes     []time.Time
	groupViolations []string
	// inRotation holds the nodes that pass the readiness checks.
	inRotation []*Node

	calls callLog
	// excuses counts the excuses of requests, filled by check.
	excuses map[Excuse]int
	// versionChecks counts the version checks in progress, versionViolations
	// holds what they found.
	versionChecks     sync.WaitGroup
	versionViolations []string
	evacuated         evacuationLog
	// disruptiveFaults is the number of faults in progress that may lose requests.
	disruptiveFaults atomic.Int64
	// links is nil if no fault of the run cuts nodes off from the servers.
	links *nodeLinks
	// levelCounts are the requests of each service by priority, in a run with levels.
	levelCounts map[string][]LevelCount
}

// server is a backend server with the proxy in front of it.
type server struct {
	*platfk.Server
	proxy        *Proxy
	domain, zone string
	// draining is set once the server is drained; no more faults affect it.
	draining bool
	// drainAckedAt is the time at which the drain was acknowledged.
	drainAckedAt time.Time
	// frozen is set while the server is frozen, removed once it has left.
	frozen, removed atomic.Bool
	mu              sync.Mutex
	// faults are the periods of faults for which requests at the server may be lost.
	faults []Period
	// cuts is the number of cuts from the nodes that are in progress.
	cuts int
}

// beginFault records that a fault begins, and returns the function that records its
// end.
func (srv *server) beginFault() func() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	idx := len(srv.faults)
	srv.faults = append(srv.faults, Period{From: time.Now()})
	return func() {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		srv.faults[idx].To = time.Now()
	}
}

// disrupted reports whether a fault overlapped the period.
func (srv *server) disrupted(from, to time.Time) bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return slices.ContainsFunc(srv.faults, func(sp Period) bool { return sp.overlaps(from, to) })
}

// newDeployment starts the servers and nodes. If it fails, it returns the partial
// deployment as well, for the caller to close.
func newDeployment(opts Options) (*deployment, error) {
	dep := &deployment{options: opts, profile: opts.Profile, store: platfk.NewStore()}
	if dep.profile == nil {
		dep.profile = ShortProfile()
	}
	faults, _ := opts.schedule()
	if slices.ContainsFunc(faults, func(fault Fault) bool { return fault.Kind == NodeStranded }) {
		dep.links = &nodeLinks{faults: map[*Node]ConnFault{}}
	}
	for num := range opts.Groups {
		for range groupSize {
			if err := dep.addServer(engineService, domainName(num)); err != nil {
				return dep, err
			}
		}
		// Each domain has one spare server.
		if err := dep.addServer(engineService, domainName(num)); err != nil {
			return dep, err
		}
	}
	for range opts.Plain {
		if err := dep.addServer(plainService, ""); err != nil {
			return dep, err
		}
	}
	if err := dep.writeConfig(); err != nil {
		return dep, err
	}
	for num := range opts.Nodes {
		if err := dep.addNode(num); err != nil {
			return dep, err
		}
	}
	dep.copies = []platfk.StoreCopy{dep.store.Copy()}
	return dep, nil
}

func (dep *deployment) close() {
	for _, node := range dep.nodes {
		node.close()
	}
	for _, srv := range dep.allServers() {
		srv.Close()
		srv.proxy.Close()
	}
	dep.store.Close()
}

func zoneName(num int) string { return fmt.Sprintf("z%d", num%3+1) }

func domainName(num int) string { return fmt.Sprintf("d%d", num) }

// domainNumber returns the number in the name of a domain.
func domainNumber(domain string) int {
	num, err := strconv.Atoi(domain[1:])
	if err != nil {
		return 0
	}
	return num
}

// addNode starts an entry node on its own loopback address.
func (dep *deployment) addNode(num int) error {
	node := &Node{storeEndpoint: dep.store.NewEndpoint()}
	proxy, err := NewProxy(node.storeEndpoint.Addr())
	if err != nil {
		return err
	}
	node.storeProxy = proxy
	ip := fmt.Sprintf("%s.%d", dep.options.Subnet, num+1)
	node.settings = site.Settings{
		Node: fmt.Sprintf("n%02d", num+1), IP: ip, Zone: zoneName(num), CallerAddr: net.JoinHostPort(ip, "19081"), ReadinessAddr: net.JoinHostPort(ip, "19082"),
		StoreAddr: proxy.Addr(), PeerPort: 19083, RelayPort: 19084, StopGrace: stopGrace, MemoryBytes: 256 << 20, RetryRatio: 0.2, RetrySlack: 130, RetryWindow: 10 * time.Second, EvacuationTimeout: evacuationBound,
		ColdRatio: coldRatio, ColdSlack: coldSlack,
	}
	dep.nodes = append(dep.nodes, node)
	if dep.links != nil {
		dep.links.addNode(node)
	}
	return node.start(dep.options.Dir, dep.options.Program)
}

// addServer starts a backend server and the proxy in front of it.
func (dep *deployment) addServer(service, domain string) error {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.serverCount++
	var proxy *Proxy
	var err error
	zone := zoneName(dep.serverCount)
	if dep.options.Evacuate && domain != "" {
		// The servers of a domain lie in one zone.
		zone = zoneName(domainNumber(domain))
	}
	srv := platfk.NewServer(dep.store, platfk.ServerConfig{
		ID: fmt.Sprintf("s%03d", dep.serverCount), Service: service, Zone: zone, Domain: domain, OnLeave: dep.memberLeft, JoinTime: dep.options.JoinTime, Cold: dep.coldConfig(), KeepAlive: true,
		AdvertisedAddr: func(addr string) string {
			if proxy == nil && err == nil {
				proxy, err = newNodeProxy(addr, dep.links)
			}
			if err != nil {
				return addr
			}
			return proxy.Addr()
		},
	})
	if err != nil {
		srv.Close()
		return err
	}
	srv.SetResponder(healthyResponse)
	dep.servers = append(dep.servers, &server{Server: srv, proxy: proxy, domain: domain, zone: zone})
	return nil
}

// healthyResponse returns the response of a server without a fault.
func healthyResponse(req *http.Request, _ int) platfk.Response { return requestedWork(req) }

const (
	// stallTimeout is the time after which the head of a group breaks that has lost a member.
	stallTimeout = 5 * time.Second
	// unreachTime is the time after a fault of its links within which a head may still count
	// as unreachable.
	unreachTime = 3 * time.Second
)

// memberLeft ends the responses of a group when an order takes a member out of it, and
// records a violation if its head still serves, or stands still and is not broken. Only a
// member of a head that is out of reach, or idle without an entry, may be ordered to leave,
// but not to join another epoch, also not one of the same name.
func (dep *deployment) memberLeft(dpt platfk.Departure) {
	violation := func(head string) {
		dep.mu.Lock()
		defer dep.mu.Unlock()
		dep.groupViolations = append(dep.groupViolations, fmt.Sprintf("%s was ordered out of group %s while its head %s served, by a join: %v", dpt.ID, dpt.Group, head, dpt.Join))
	}
	if dpt.Served && dpt.Join {
		violation(dpt.ID)
	}
	for _, srv := range dep.allServers() {
		if srv.ID() == dpt.ID || !srv.Serves(dpt.Group) {
			continue
		}
		now := time.Now()
		outOfReach := srv.disrupted(now.Add(-unreachTime), now) || srv.removed.Load() && !srv.Busy()
		srv.CutResponses()
		srv.BreakAfter(dpt.Group, stallTimeout)
		if dpt.Join || !outOfReach {
			violation(srv.ID())
		}
	}
}

// allServers returns all servers, including draining ones.
func (dep *deployment) allServers() []*server {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	return append([]*server(nil), dep.servers...)
}

// activeServers returns the servers that are not draining.
func (dep *deployment) activeServers() []*server {
	var out []*server
	for _, srv := range dep.allServers() {
		if !srv.draining {
			out = append(out, srv)
		}
	}
	return out
}

// writeConfig writes the next version of the configuration. Its last route is
// named after the version, so that a request shows whether it is in force.
func (dep *deployment) writeConfig() error {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.version++
	var routes []site.Route
	for _, rt := range dep.profile.Routes {
		routes = append(routes, rt.siteRoute(rt.Name))
	}
	name := versionRoute(dep.version)
	routes = append(routes, dep.profile.route(name).siteRoute(name))
	doc := platfk.ConfigDocument{
		Version: dep.version, ModelService: engineService, PlainService: plainService, Slots: slotsPerGroup, Model: modelName, Size: groupSize, Org: orgID, APIKey: apiKey, Routes: routes, Cold: dep.coldConfig(),
	}
	if dep.profile.hasLevels() {
		doc.StepTime, doc.TokensPerEvent = levelStepTime, tokensPerEvent
	}
	raw, err := doc.Encode()
	if err != nil {
		return err
	}
	dep.config = raw
	dep.configTimes = append(dep.configTimes, time.Now())
	dep.store.Append(platform.TopicOperator, platform.KeyConfig, raw)
	return nil
}

func versionRoute(version int64) string { return fmt.Sprintf("v%d", version) }

// maxCopies is the number of recent copies of the store from which it may come back.
const maxCopies = 5

// watchReadiness checks the readiness of the nodes, updates the rotation and copies
// the store until done closes.
func (dep *deployment) watchReadiness(done <-chan struct{}) {
	failures := map[*Node]int{}
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		var ready []*Node
		for _, node := range dep.nodes {
			if isReady(client, node) {
				failures[node] = 0
			} else {
				failures[node]++
			}
			if failures[node] < unreadyThreshold {
				ready = append(ready, node)
			}
		}
		dep.mu.Lock()
		dep.inRotation = ready
		dep.copies = append(dep.copies, dep.store.Copy())
		dep.copies = dep.copies[max(0, len(dep.copies)-maxCopies):]
		dep.mu.Unlock()
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

func isReady(client *http.Client, node *Node) bool {
	resp, err := client.Get("http://" + node.settings.ReadinessAddr + platform.PathReady)
	if err != nil {
		return false
	}
	return errors.Join(resp.Body.Close()) == nil && resp.StatusCode == http.StatusOK
}

// rotation returns the nodes for new connections: all nodes if none is ready.
func (dep *deployment) rotation() []*Node {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	if len(dep.inRotation) == 0 {
		return dep.nodes
	}
	return dep.inRotation
}
