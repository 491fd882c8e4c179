package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
)

// Timing of the polls of the VM list.
const (
	listInterval      = 500 * time.Millisecond
	listIntervalPerVM = 2 * time.Millisecond // for each listed VM
	listTimeout       = 2 * time.Second
)

// vmList is the platform's list of VMs as last read. It is immutable.
type vmList struct {
	vms    []core.VM
	readAt time.Time
}

// interval returns the time until the next poll. It grows with the list, which
// limits the bytes read per second.
func (list *vmList) interval() time.Duration {
	return max(listInterval, time.Duration(len(list.vms))*listIntervalPerVM)
}

// find returns the VM with the name.
func (list *vmList) find(name core.VMName) (core.VM, bool) {
	for _, vm := range list.vms {
		if vm.Name == name {
			return vm, true
		}
	}
	return core.VM{}, false
}

// inZone returns the VMs of the kind in the zone.
func (list *vmList) inZone(zone core.Zone, kind core.VMKind) []core.VM {
	var out []core.VM
	for _, vm := range list.vms {
		if vm.Zone == zone && vm.Kind == kind {
			out = append(out, vm)
		}
	}
	return out
}

// vmListPoller is the task that polls the platform's list of VMs. While the
// list can't be read, the last one stays in use.
type vmListPoller struct {
	src     core.VMLister
	log     *logrus.Logger
	now     func() time.Time
	current atomic.Pointer[vmList]
}

// newVMListPoller returns a poller with an empty list.
func newVMListPoller(src core.VMLister, log *logrus.Logger, now func() time.Time) *vmListPoller {
	vmPoller := &vmListPoller{src: src, log: log, now: now}
	vmPoller.current.Store(&vmList{})
	return vmPoller
}

// list returns the list as last read.
func (vmPoller *vmListPoller) list() *vmList { return vmPoller.current.Load() }

// run polls the list until ctx ends.
func (vmPoller *vmListPoller) run(ctx context.Context) error {
	for ctx.Err() == nil {
		vmPoller.poll(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(vmPoller.list().interval()):
		}
	}
	return nil
}

// listResult is the result of one read of the platform's list.
type listResult struct {
	vms []core.VM
	err error
}

// poll reads the list once. It returns at once when ctx ends, even if the read
// has not returned.
func (vmPoller *vmListPoller) poll(ctx context.Context) {
	results := make(chan listResult, 1)
	go func() {
		readCtx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		vms, err := vmPoller.src.VMs(readCtx)
		results <- listResult{vms: vms, err: err}
	}()
	select {
	case got := <-results:
		vmPoller.apply(got.vms, got.err)
	case <-ctx.Done():
	}
}

// apply replaces the list, or logs the error and keeps it.
func (vmPoller *vmListPoller) apply(vms []core.VM, err error) {
	if err != nil {
		vmPoller.log.WithFields(logrus.Fields{"event": "list", "code": core.CodeOf(err), "error": err.Error()}).
			Warn("could not read the VM list")
		return
	}
	vmPoller.current.Store(&vmList{vms: vms, readAt: vmPoller.now()})
}

// runEvery calls fn at once and then at every interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, fn func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		fn()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return nil
}
