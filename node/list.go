package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
)

// Timing of the list task.
const (
	listInterval = 500 * time.Millisecond
	listTimePer  = 2 * time.Millisecond // for each listed VM
	listTimeout  = 2 * time.Second
)

// roster is what the platform's list last said. It is immutable.
type roster struct {
	vms []core.VM
	at  time.Time
}

// interval returns the time until the next read. It grows with the list, so
// that reading takes a bounded number of bytes a second.
func (ros *roster) interval() time.Duration {
	return max(listInterval, time.Duration(len(ros.vms))*listTimePer)
}

// find returns the VM of the name.
func (ros *roster) find(nam core.VMName) (core.VM, bool) {
	for _, vmx := range ros.vms {
		if vmx.Name == nam {
			return vmx, true
		}
	}
	return core.VM{}, false
}

// inZone returns the VMs of the kind in the zone.
func (ros *roster) inZone(zon core.Zone, kin core.VMKind) []core.VM {
	var out []core.VM
	for _, vmx := range ros.vms {
		if vmx.Zone == zon && vmx.Kind == kin {
			out = append(out, vmx)
		}
	}
	return out
}

// lister is the task that follows the platform's list of VMs. While the list
// can't be read, the last one stays in use.
type lister struct {
	src core.VMLister
	log *logrus.Logger
	now func() time.Time
	cur atomic.Pointer[roster]
}

// newLister returns a lister with an empty list.
func newLister(src core.VMLister, log *logrus.Logger, now func() time.Time) *lister {
	lst := &lister{src: src, log: log, now: now}
	lst.cur.Store(&roster{})
	return lst
}

// roster returns the last list.
func (lst *lister) roster() *roster { return lst.cur.Load() }

// run reads the list again and again until ctx ends.
func (lst *lister) run(ctx context.Context) error {
	for ctx.Err() == nil {
		lst.read(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(lst.roster().interval()):
		}
	}
	return nil
}

// listed is an answer of the platform's list.
type listed struct {
	vms []core.VM
	err error
}

// read reads the list once. When ctx ends it waits for the answer no more.
func (lst *lister) read(ctx context.Context) {
	ans := make(chan listed, 1)
	go func() {
		sub, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		vms, err := lst.src.VMs(sub)
		ans <- listed{vms: vms, err: err}
	}()
	select {
	case got := <-ans:
		lst.take(got.vms, got.err)
	case <-ctx.Done():
	}
}

// take takes an answer of the platform's list.
func (lst *lister) take(vms []core.VM, err error) {
	if err != nil {
		lst.log.WithFields(logrus.Fields{"event": "list", "code": core.CodeOf(err), "error": err.Error()}).
			Warn("VM list not read")
		return
	}
	lst.cur.Store(&roster{vms: vms, at: lst.now()})
}

// every calls fun at once and then at every interval until ctx ends.
func every(ctx context.Context, ivl time.Duration, fun func()) error {
	tic := time.NewTicker(ivl)
	defer tic.Stop()
	for ctx.Err() == nil {
		fun()
		select {
		case <-ctx.Done():
		case <-tic.C:
		}
	}
	return nil
}
