package vms

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/io/wire"
)

const (
	defaultTimeout = 2 * time.Second
	maxListBytes   = 8 << 20

	listPath = "/v1/vms"
)

// Lister reads the list of VMs from one server. It never retries a call.
type Lister struct {
	pool *wire.Pool
}

var _ core.VMLister = (*Lister)(nil)

// New returns a Lister for the server at addr, in the form host:port.
func New(addr string) *Lister {
	return &Lister{pool: wire.New(addr, wire.Config{MaxBody: maxListBytes})}
}

type responseBody struct {
	VMs *[]core.VM `json:"vms"`
}

// VMs returns the list. It waits until the deadline of ctx, or 2 seconds if ctx
// has none. The error carries core.CodeLogDown if the list could not be read or
// is invalid; see Decode.
func (lister *Lister) VMs(ctx context.Context) ([]core.VM, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(listPath)
	resp, _, err := lister.pool.Do(ctx, wire.Exchange{Req: req, IOTimeout: time.Until(deadline)})
	if err != nil {
		return nil, core.Errorf(core.CodeLogDown, "list of VMs: %v", err)
	}
	if resp.Status() != fasthttp.StatusOK {
		return nil, core.Errorf(core.CodeLogDown, "list of VMs: HTTP status %d", resp.Status())
	}
	return Decode(resp.Body())
}

// Close closes the idle connections.
func (lister *Lister) Close() { lister.pool.Reset() }

// Decode decodes a list of VMs. It returns an error with core.CodeLogDown if the
// list is malformed, or has a VM without name or address or two with one name.
func Decode(raw []byte) ([]core.VM, error) {
	var body responseBody
	err := json.Unmarshal(raw, &body)
	if err != nil {
		return nil, core.Errorf(core.CodeLogDown, "list of VMs: %v", err)
	}
	if body.VMs == nil {
		return nil, core.Errorf(core.CodeLogDown, "list of VMs: field %q is missing", "vms")
	}
	seen := core.NewSet[core.VMName]()
	for idx, vm := range *body.VMs {
		if vm.Name == "" || vm.Addr == "" {
			return nil, core.Errorf(core.CodeLogDown, "list of VMs: entry %d has no name or no address", idx)
		}
		if seen.Has(vm.Name) {
			return nil, core.Errorf(core.CodeLogDown, "list of VMs: duplicate name %q", vm.Name)
		}
		seen.Add(vm.Name)
	}
	return *body.VMs, nil
}
