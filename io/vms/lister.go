package vms

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"kumquathinge/core"
)

const (
	defaultTimeout = 2 * time.Second
	maxListBytes   = 8 << 20
)

// Lister reads the list at one address. It never repeats a call by itself.
type Lister struct {
	url string
	cli *fasthttp.Client
}

var _ core.VMLister = (*Lister)(nil)

// New returns a Lister of the list at addr, a host and port.
func New(addr string) *Lister {
	return &Lister{
		url: "http://" + addr + "/v1/vms",
		cli: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxListBytes,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

type list struct {
	VMs *[]core.VM `json:"vms"`
}

// VMs returns the list, or an error with core.CodeLogDown if it can't be read
// before ctx's deadline, or names a VM twice or without address. Without a
// deadline it waits two seconds.
func (lst *Lister) VMs(ctx context.Context) ([]core.VM, error) {
	until, ok := ctx.Deadline()
	if !ok {
		until = time.Now().Add(defaultTimeout)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(lst.url)
	err := lst.cli.DoDeadline(req, res, until)
	if err != nil {
		return nil, core.Errorf(core.CodeLogDown, "list of VMs: %v", err)
	}
	if res.StatusCode() != fasthttp.StatusOK {
		return nil, core.Errorf(core.CodeLogDown, "list of VMs: HTTP status %d", res.StatusCode())
	}
	return Decode(res.Body())
}

// Close closes the idle connections.
func (lst *Lister) Close() { lst.cli.CloseIdleConnections() }

// Decode reads a list of VMs. Its error carries core.CodeLogDown.
func Decode(raw []byte) ([]core.VM, error) {
	var lst list
	err := json.Unmarshal(raw, &lst)
	if err != nil {
		return nil, core.Errorf(core.CodeLogDown, "list of VMs: %v", err)
	}
	if lst.VMs == nil {
		return nil, core.Errorf(core.CodeLogDown, "list of VMs: field %q is missing", "vms")
	}
	seen := core.NewSet[core.VMName]()
	for idx, vm := range *lst.VMs {
		if vm.Name == "" || vm.Addr == "" {
			return nil, core.Errorf(core.CodeLogDown, "list of VMs: entry %d has no name or no address", idx)
		}
		if seen.Has(vm.Name) {
			return nil, core.Errorf(core.CodeLogDown, "list of VMs: %q stands twice", vm.Name)
		}
		seen.Add(vm.Name)
	}
	return *lst.VMs, nil
}
