package stand

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"kumquathinge/core"
)

// VMsFault holds the faults of VMs.
type VMsFault struct {
	Fault
	// Lag is how old the list is that readers get.
	Lag Span `json:"lag,omitempty"`
	// Frozen keeps the list as readers last could see it.
	Frozen bool `json:"frozen,omitempty"`
	// Leaving names VMs that are shown as leaving.
	Leaving []core.VMName `json:"leaving,omitempty"`
}

// VMList is the list of VMs as the platform writes it.
type VMList struct {
	VMs []core.VM `json:"vms"`
}

type listVersion struct {
	at  time.Time
	vms []core.VM
}

// VMs is a stand-in of the platform's list of VMs.
type VMs struct {
	*base[VMsFault]
	versions []listVersion
	frozenAt time.Time
}

// NewVMs returns a list that holds vms. Readers with a lag see them at once.
func NewVMs(vms ...core.VM) *VMs {
	lst := &VMs{base: newBase[VMsFault]()}
	lst.versions = []listVersion{{vms: slices.Clone(vms)}}
	lst.onFault = lst.freeze
	lst.mux.HandleFunc("GET /v1/vms", lst.serveGet)
	lst.mux.HandleFunc("POST /v1/vms", lst.servePost)
	return lst
}

// Set replaces the list.
func (lst *VMs) Set(vms ...core.VM) {
	lst.mtx.Lock()
	defer lst.mtx.Unlock()
	lst.versions = append(lst.versions, listVersion{at: time.Now(), vms: slices.Clone(vms)})
}

func (lst *VMs) freeze(fau VMsFault) {
	lst.mtx.Lock()
	defer lst.mtx.Unlock()
	if !fau.Frozen {
		lst.frozenAt = time.Time{}
		return
	}
	if lst.frozenAt.IsZero() {
		lst.frozenAt = time.Now()
	}
}

func (lst *VMs) serveGet(wri http.ResponseWriter, _ *http.Request) {
	if lst.Fault().Refuse {
		refuse(wri)
		return
	}
	reply(wri, http.StatusOK, VMList{VMs: lst.view(time.Now())})
}

func (lst *VMs) view(now time.Time) []core.VM {
	lst.mtx.Lock()
	defer lst.mtx.Unlock()
	if !lst.frozenAt.IsZero() {
		now = lst.frozenAt
	}
	seen := now.Add(-time.Duration(lst.fault.Lag))
	out := []core.VM{}
	for _, ver := range lst.versions {
		if !ver.at.After(seen) {
			out = slices.Clone(ver.vms)
		}
	}
	for idx := range out {
		if slices.Contains(lst.fault.Leaving, out[idx].Name) {
			out[idx].Leaving = true
		}
	}
	return out
}

func (lst *VMs) servePost(wri http.ResponseWriter, req *http.Request) {
	var bod VMList
	err := json.NewDecoder(http.MaxBytesReader(wri, req.Body, maxControlBody)).Decode(&bod)
	if err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	lst.Set(bod.VMs...)
	wri.WriteHeader(http.StatusNoContent)
}
