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
	// Lag is the age of the list that is returned.
	Lag Span `json:"lag,omitempty"`
	// Frozen hides changes of the list that are made after it was set.
	Frozen bool `json:"frozen,omitempty"`
	// Leaving holds the names of VMs that are returned as leaving.
	Leaving []core.VMName `json:"leaving,omitempty"`
}

// VMList is the list of VMs in the JSON format of the platform.
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

// NewVMs returns a list that holds vms. They are visible at once, whatever Lag is.
func NewVMs(vms ...core.VM) *VMs {
	list := &VMs{base: newBase[VMsFault]()}
	list.versions = []listVersion{{vms: slices.Clone(vms)}}
	list.onFaultSet = list.applyFault
	list.mux.HandleFunc("GET /v1/vms", list.serveGet)
	list.mux.HandleFunc("POST /v1/vms", list.servePost)
	return list
}

// Set replaces the list.
func (list *VMs) Set(vms ...core.VM) {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.versions = append(list.versions, listVersion{at: time.Now(), vms: slices.Clone(vms)})
}

func (list *VMs) applyFault(fault VMsFault) {
	list.mu.Lock()
	defer list.mu.Unlock()
	if !fault.Frozen {
		list.frozenAt = time.Time{}
		return
	}
	if list.frozenAt.IsZero() {
		list.frozenAt = time.Now()
	}
}

func (list *VMs) serveGet(rw http.ResponseWriter, _ *http.Request) {
	if list.Fault().Refuse {
		writeRefusal(rw)
		return
	}
	writeJSON(rw, http.StatusOK, VMList{VMs: list.visibleVMs(time.Now())})
}

func (list *VMs) visibleVMs(now time.Time) []core.VM {
	list.mu.Lock()
	defer list.mu.Unlock()
	if !list.frozenAt.IsZero() {
		now = list.frozenAt
	}
	asOf := now.Add(-time.Duration(list.fault.Lag))
	out := []core.VM{}
	for _, version := range list.versions {
		if !version.at.After(asOf) {
			out = slices.Clone(version.vms)
		}
	}
	for idx := range out {
		if slices.Contains(list.fault.Leaving, out[idx].Name) {
			out[idx].Leaving = true
		}
	}
	return out
}

func (list *VMs) servePost(rw http.ResponseWriter, req *http.Request) {
	var body VMList
	err := json.NewDecoder(http.MaxBytesReader(rw, req.Body, maxControlBytes)).Decode(&body)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	list.Set(body.VMs...)
	rw.WriteHeader(http.StatusNoContent)
}
