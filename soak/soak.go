package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// startTimeout is the time within which a new deployment must serve requests.
	startTimeout = 20 * time.Second
	// recoveryTimeout is the time within which each node must serve requests
	// after the last fault was undone.
	recoveryTimeout = 12 * time.Second
	// retryInterval is the delay between two requests that wait for a node to serve.
	retryInterval = 100 * time.Millisecond
)

// Options are the parameters of a run.
type Options struct {
	// Program is the path of the kumentry binary, Dir the directory for the
	// settings files of the nodes.
	Program, Dir string
	// Seed determines the faults, Duration is the period in which they start.
	Seed     uint64
	Duration time.Duration
	// Nodes, Groups and Plain are the numbers of entry VMs, groups and backend
	// servers of the plain service.
	Nodes, Groups, Plain int
	// Subnet holds the first three bytes of the nodes' loopback addresses,
	// for example "127.1.2".
	Subnet string
	// Profile is the traffic. Nil selects that of ShortProfile.
	Profile *Profile
	// Garble adds servers that send bytes that are no answer to the faults of the seed.
	Garble bool
	// Evacuate puts the servers of a domain into one zone, and adds the evacuation of a
	// zone to the faults of some seeds.
	Evacuate bool
	// Cold adds servers that become cold to the faults of the seed.
	Cold bool
	// Uneven adds servers of different speed to the faults of the seed.
	Uneven bool
	// Repeat adds servers that send responses twice to the faults of the seed.
	Repeat bool
	// Stranded adds nodes that are cut off from all backend servers to the faults of the
	// seed.
	Stranded bool
	// Waves adds waves of servers that are cut off from all nodes to the faults of the seed.
	Waves bool
	// JoinTime is the time that joins of servers take.
	JoinTime time.Duration
	// Faults replace those of the seed if they are not nil. Planned is set if they are
	// planned maintenance only.
	Faults  []Fault
	Planned bool
}

// Report is the result of a run.
type Report struct {
	Seed        uint64
	PlannedOnly bool
	Schedule    []Fault
	// Calls is the number of requests sent by clients, Served that of complete
	// responses with status 200.
	Calls, Served int
	// Excuses counts why requests without a complete response were not lost, and the
	// complete responses.
	Excuses map[string]int
	// Levels are the requests of each service by priority, for profiles whose routes to a
	// service differ in it.
	Levels map[string][]LevelCount
	// PeakMemory is the largest resident memory of a node, in bytes.
	PeakMemory int64
	// Cuts are the first tries while nodes were cut off from all backend servers.
	Cuts []CutCount
	// Violations describes the checks that failed.
	Violations []string
	deployment *deployment
}

// schedule returns the faults of a run, and whether all are planned maintenance.
func (opts *Options) schedule() ([]Fault, bool) {
	faults, planned := Schedule(opts.Seed, opts.Duration)
	if opts.Profile != nil && opts.Profile.UploadSize > 0 && !planned {
		faults = AddUploads(faults, opts.Seed, opts.Duration)
	}
	if opts.Garble {
		faults = AddGarble(faults, opts.Seed, opts.Duration, planned)
	}
	if opts.Evacuate {
		faults = AddEvacuation(faults, opts.Seed, opts.Duration)
	}
	if opts.Cold {
		faults = AddCold(faults, opts.Seed, opts.Duration, planned)
	}
	if opts.Uneven {
		faults = AddUneven(faults, opts.Seed, opts.Duration, planned)
	}
	if opts.Repeat {
		faults = AddRepeat(faults, opts.Seed, opts.Duration, planned)
	}
	if opts.Stranded {
		faults = AddStranded(faults, opts.Seed, opts.Duration, planned)
	}
	if opts.Waves {
		faults = AddWaves(faults, opts.Seed, opts.Duration, planned)
	}
	if opts.Faults != nil {
		return opts.Faults, opts.Planned
	}
	return faults, planned
}

// Run starts a deployment, injects the faults of one seed and checks the result.
// The error is that of the run itself; failed checks are in Report.Violations.
func Run(opts Options) (report Report, err error) {
	report = Report{Seed: opts.Seed}
	report.Schedule, report.PlannedOnly = opts.schedule()
	dep, err := newDeployment(opts)
	defer dep.close()
	if err != nil {
		return report, err
	}
	report.deployment = dep
	if missing := dep.waitUntilServing(startTimeout); missing != "" {
		report.Violations = append(report.Violations, "not serving after the start: "+missing)
		return report, nil
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { dep.watchReadiness(done) })
	wg.Go(func() { dep.watchMemory(done) })
	for num := range dep.profile.ClientsPerNode * opts.Nodes {
		wg.Go(func() { dep.runCaller(rand.New(rand.NewPCG(opts.Seed, uint64(num)+2)), done) })
	}
	err = dep.runSchedule(report.Schedule)
	dep.waitForStops()
	if missing := dep.waitUntilServing(recoveryTimeout); missing != "" {
		report.Violations = append(report.Violations, "not serving after the last fault: "+missing)
	}
	close(done)
	wg.Wait()
	report.Violations = append(report.Violations, dep.check(report.PlannedOnly)...)
	report.Violations = append(report.Violations, dep.waitForVersionChecks()...)
	report.Cuts = dep.countCuts()
	for _, cnt := range report.Cuts {
		if violation := cnt.Judge(); violation != "" {
			report.Violations = append(report.Violations, violation)
		}
	}
	report.Excuses, report.Levels = map[string]int{}, dep.levelCounts
	for exc, num := range dep.excuses {
		report.Excuses[string(exc)] = num
	}
	for _, node := range dep.nodes {
		report.PeakMemory = max(report.PeakMemory, node.memoryPeak())
	}
	for _, call := range dep.calls.all() {
		report.Calls++
		if call.status == http.StatusOK && call.complete {
			report.Served++
		}
	}
	return report, err
}

// runSchedule injects the faults at their times and undoes each after its
// duration.
func (dep *deployment) runSchedule(faults []Fault) error {
	startedAt := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, fault := range faults {
		time.Sleep(time.Until(startedAt.Add(fault.StartsAfter)))
		undo, err := dep.inject(fault)
		if err != nil {
			return err
		}
		wg.Go(func() {
			time.Sleep(fault.Duration)
			undo()
		})
	}
	return nil
}

// waitForStops waits until the processes that were sent a signal to stop have ended, with the
// clients' requests going on.
func (dep *deployment) waitForStops() {
	for _, node := range dep.nodes {
		for node.stopping() {
			time.Sleep(retryInterval)
		}
	}
}

// waitUntilServing waits until each node has served a request of each kind. It
// returns the last failed call if that takes longer than timeout, otherwise "".
func (dep *deployment) waitUntilServing(timeout time.Duration) string {
	deadline := time.Now().Add(timeout)
	missing := ""
	for _, node := range dep.nodes {
		for _, rt := range dep.profile.Routes {
			for {
				client := newClient()
				call := newCall(rt, work{events: 2, interval: time.Millisecond}, false)
				dep.send(client, node, call)
				client.CloseIdleConnections()
				dep.calls.add(call)
				if call.status == http.StatusOK && call.complete {
					break
				}
				missing = call.String()
				if time.Now().After(deadline) {
					return missing
				}
				time.Sleep(retryInterval)
			}
		}
	}
	return ""
}

// scheduleVersionCheck checks after maxConfigDelay that the newest configuration
// version is in force at each node that no fault affected meanwhile.
func (dep *deployment) scheduleVersionCheck() {
	dep.mu.Lock()
	version := dep.version
	dep.mu.Unlock()
	if dep.disruptiveFaults.Load() > 0 {
		return
	}
	dep.versionChecks.Go(func() {
		time.Sleep(maxConfigDelay)
		for _, node := range dep.nodes {
			if dep.disruptiveFaults.Load() > 0 || !node.undisturbed(2*maxConfigDelay) {
				continue
			}
			client := newClient()
			name := versionRoute(version)
			rt := dep.profile.route(name)
			rt.Name = name
			call := newCall(rt, work{}, false)
			dep.send(client, node, call)
			client.CloseIdleConnections()
			dep.mu.Lock()
			current := dep.version == version
			if current && call.status == http.StatusNotFound {
				dep.versionViolations = append(dep.versionViolations, fmt.Sprintf("configuration version %d is not in force after %v: %v", version, maxConfigDelay, call))
			}
			dep.mu.Unlock()
			call.status = 0
			dep.calls.add(call)
		}
	})
}

// waitForVersionChecks waits for the version checks in progress and returns the
// violations that they found.
func (dep *deployment) waitForVersionChecks() []string {
	dep.versionChecks.Wait()
	dep.mu.Lock()
	defer dep.mu.Unlock()
	return dep.versionViolations
}

// LogLines returns the number of lines with the event in the logs of the nodes.
func (report Report) LogLines(event string) int {
	num := 0
	for _, node := range report.deployment.nodes {
		log, _ := node.logAndViolations()
		num += bytes.Count(log, []byte("event="+event+" "))
	}
	return num
}

// Save writes the faults and violations of a run to report.txt in dir, and the
// log of each node to a file NODE.log.
func (report Report) Save(dir string) error {
	err := os.MkdirAll(dir, 0o755)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("seed %d, planned maintenance only %v, %d of %d requests served\n", report.Seed, report.PlannedOnly, report.Served, report.Calls)
	for _, fault := range report.Schedule {
		text += fault.String() + "\n"
	}
	for exc, num := range report.Excuses {
		text += fmt.Sprintf("%d requests: %q\n", num, exc)
	}
	for _, violation := range report.Violations {
		text += "VIOLATION: " + violation + "\n"
	}
	err = os.WriteFile(filepath.Join(dir, "report.txt"), []byte(text), 0o600)
	if err != nil || report.deployment == nil {
		return err
	}
	for _, node := range report.deployment.nodes {
		log, _ := node.logAndViolations()
		err = os.WriteFile(filepath.Join(dir, node.settings.Node+".log"), log, 0o600)
		if err != nil {
			return err
		}
	}
	return nil
}
