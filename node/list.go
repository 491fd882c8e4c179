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
	listInterval      = 500 * time.Millisecond
	listIntervalPerVM = 2 * time.Millisecond // for each listed VM
	listTimeout       = 2 * time.Second
)

// vmList is what the platform's list last said. It is immutable.
type vmList struct {
	vms    []core.VM
	readAt time.Time
}

// interval returns the time until the next read. It grows with the list, so
// that reading takes a bounded number of bytes a second.
func (list *vmList) interval() time.Duration {
	return max(listInterval, time.Duration(len(list.vms))*listIntervalPerVM)
}

// find returns the VM of the name.
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

// vmListPoller is the task that follows the platform's list of VMs. While the list
// can't be read, the last one stays in use.
type vmListPoller struct {
	src     core.VMLister
	log     *logrus.Logger
	now     func() time.Time
	current atomic.Pointer[vmList]
}

// newVMListPoller returns a lister with an empty list.
func newVMListPoller(src core.VMLister, log *logrus.Logger, now func() time.Time) *vmListPoller {
	vmPoller := &vmListPoller{src: src, log: log, now: now}
	vmPoller.current.Store(&vmList{})
	return vmPoller
}

// list returns the last list.
func (vmPoller *vmListPoller) list() *vmList { return vmPoller.current.Load() }

// run reads the list again and again until ctx ends.
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

// listResult is an answer of the platform's list.
type listResult struct {
	vms []core.VM
	err error
}

// poll reads the list once. When ctx ends it waits for the answer no more.
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

// apply takes an answer of the platform's list.
func (vmPoller *vmListPoller) apply(vms []core.VM, err error) {
	if err != nil {
		vmPoller.log.WithFields(logrus.Fields{"event": "list", "code": core.CodeOf(err), "error": err.Error()}).
			Warn("VM list not read")
		return
	}
	vmPoller.current.Store(&vmList{vms: vms, readAt: vmPoller.now()})
}

// runEvery calls fun at once and then at every interval until ctx ends.
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
