package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// startBound is the time within which a deployment serves after its start.
	startBound = 20 * time.Second
	// recoverBound is the time within which each node serves after the last
	// fault.
	recoverBound = 12 * time.Second
	// recoverPause is the pause between two tries of that.
	recoverPause = 100 * time.Millisecond
	// callersPerNode is the number of callers for each node.
	callersPerNode = 4
)

// Options are the parameters of a run.
type Options struct {
	// Program is the path of kumentry, Dir a directory for settings.
	Program, Dir string
	// Seed decides the faults, Length is the time in which they begin.
	Seed   uint64
	Length time.Duration
	// Nodes, Groups and Plain are the numbers of entry VMs, groups and plain
	// servers.
	Nodes, Groups, Plain int
	// Subnet is the first three bytes of the nodes' loopback addresses.
	Subnet string
}

// Report is the result of a run.
type Report struct {
	Seed    uint64
	Planned bool
	Script  []Fault
	// Calls is the number of callers' requests, Served that of successes.
	Calls, Served int
	// Broken are the promises that did not hold.
	Broken []string
	wld    *world
}

// Run plays one seed.
func Run(opt Options) (rep Report, err error) {
	rep = Report{Seed: opt.Seed}
	rep.Script, rep.Planned = Script(opt.Seed, opt.Length)
	wld, err := newWorld(opt)
	defer wld.close()
	if err != nil {
		return rep, err
	}
	rep.wld = wld
	if left := wld.awaitService(startBound); left != "" {
		rep.Broken = append(rep.Broken, "not served after the start: "+left)
		return rep, nil
	}
	done := make(chan struct{})
	var wgr sync.WaitGroup
	wgr.Go(func() { wld.watch(done) })
	for num := range callersPerNode * opt.Nodes {
		wgr.Go(func() { wld.caller(rand.New(rand.NewPCG(opt.Seed, uint64(num)+2)), done) })
	}
	err = wld.play(rep.Script)
	if left := wld.awaitService(recoverBound); left != "" {
		rep.Broken = append(rep.Broken, "not served after the last fault: "+left)
	}
	close(done)
	wgr.Wait()
	rep.Broken = append(rep.Broken, wld.check(rep.Planned)...)
	rep.Broken = append(rep.Broken, wld.notes()...)
	for _, cal := range wld.rec.all() {
		rep.Calls++
		if cal.status == http.StatusOK && cal.whole {
			rep.Served++
		}
	}
	return rep, err
}

// play applies the faults at their times and heals them.
func (wld *world) play(flts []Fault) error {
	begin := time.Now()
	var wgr sync.WaitGroup
	defer wgr.Wait()
	for _, flt := range flts {
		time.Sleep(time.Until(begin.Add(flt.At)))
		heal, err := wld.apply(flt)
		if err != nil {
			return err
		}
		wgr.Go(func() {
			time.Sleep(flt.For)
			heal()
		})
	}
	return nil
}

// awaitService waits until each node serves a request of each kind, and returns
// what was missing at the end of the bound.
func (wld *world) awaitService(bound time.Duration) string {
	end := time.Now().Add(bound)
	missing := ""
	for _, nod := range wld.nodes {
		for _, kind := range []string{"stream", "charge", "read"} {
			for {
				cli := newClient()
				cal := wld.call(cli, nod, kind, false)
				cli.CloseIdleConnections()
				wld.rec.add(cal)
				if cal.status == http.StatusOK && cal.whole {
					break
				}
				missing = cal.String()
				if time.Now().After(end) {
					return missing
				}
				time.Sleep(recoverPause)
			}
		}
	}
	return ""
}

// watchVersion checks after its bound that the newest version is in force at
// each node that was left alone meanwhile.
func (wld *world) watchVersion() {
	wld.mtx.Lock()
	version := wld.version
	wld.mtx.Unlock()
	if wld.harm.Load() > 0 {
		return
	}
	wld.later.Go(func() {
		time.Sleep(configBound)
		for _, nod := range wld.nodes {
			if wld.harm.Load() > 0 || !nod.steady(2*configBound) {
				continue
			}
			cli := newClient()
			cal := wld.call(cli, nod, versionRoute(version), false)
			cli.CloseIdleConnections()
			wld.mtx.Lock()
			current := wld.version == version
			if current && cal.status == http.StatusNotFound {
				wld.late = append(wld.late, fmt.Sprintf("version %d is not in force after %v: %v", version, configBound, cal))
			}
			wld.mtx.Unlock()
			cal.status = 0
			wld.rec.add(cal)
		}
	})
}

// notes waits for the checks in progress and returns what they found.
func (wld *world) notes() []string {
	wld.later.Wait()
	wld.mtx.Lock()
	defer wld.mtx.Unlock()
	return wld.late
}

// Save writes what a run did and the logs of its nodes into a directory.
func (rep Report) Save(dir string) error {
	err := os.MkdirAll(dir, 0o755)
	if err != nil {
		return err
	}
	txt := fmt.Sprintf("seed %d, planned work only %v, %d of %d requests served\n", rep.Seed, rep.Planned, rep.Served, rep.Calls)
	for _, flt := range rep.Script {
		txt += flt.String() + "\n"
	}
	for _, bro := range rep.Broken {
		txt += "BROKEN: " + bro + "\n"
	}
	err = os.WriteFile(filepath.Join(dir, "report.txt"), []byte(txt), 0o600)
	if err != nil || rep.wld == nil {
		return err
	}
	for _, nod := range rep.wld.nodes {
		log, _ := nod.text()
		err = os.WriteFile(filepath.Join(dir, nod.set.Node+".log"), log, 0o600)
		if err != nil {
			return err
		}
	}
	return nil
}
