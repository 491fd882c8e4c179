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
	listURL string
	client  *fasthttp.Client
}

var _ core.VMLister = (*Lister)(nil)

// New returns a Lister of the list at addr, a host and port.
func New(addr string) *Lister {
	return &Lister{
		listURL: "http://" + addr + "/v1/vms",
		client: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxListBytes,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

type responseBody struct {
	VMs *[]core.VM `json:"vms"`
}

// VMs returns the list, or an error with core.CodeLogDown if it can't be read
// before ctx's deadline, or names a VM twice or without address. Without a
// deadline it waits two seconds.
func (lister *Lister) VMs(ctx context.Context) ([]core.VM, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(lister.listURL)
	err := lister.client.DoDeadline(req, resp, deadline)
	if err != nil {
		return nil, core.Errorf(core.CodeLogDown, "list of VMs: %v", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, core.Errorf(core.CodeLogDown, "list of VMs: HTTP status %d", resp.StatusCode())
	}
	return Decode(resp.Body())
}

// Close closes the idle connections.
func (lister *Lister) Close() { lister.client.CloseIdleConnections() }

// Decode reads a list of VMs. Its error carries core.CodeLogDown.
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
			return nil, core.Errorf(core.CodeLogDown, "list of VMs: %q stands twice", vm.Name)
		}
		seen.Add(vm.Name)
	}
	return *body.VMs, nil
}
