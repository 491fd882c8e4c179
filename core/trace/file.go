package trace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"kumquathinge/core"
)

// Kinds of lines. Those from KindExit on are faults and have a time.
const (
	KindTrace       = "trace"
	KindVM          = "vm"
	KindGroup       = "group"
	KindModel       = "model"
	KindWeightStore = "store"
	KindExit        = "die"    // the process terminates
	KindRestart     = "return" // the VM starts a new process without a loaded model
	KindPause       = "pause"  // the process is suspended and keeps its state
	KindResume      = "resume" // the suspended process continues
	KindUnreachable = "dark"   // the domain becomes unreachable
	KindReachable   = "light"  // the domain becomes reachable again
	KindSlowLoads   = "slow"   // loads take Factor times as long
	KindLeaving     = "leave"  // the platform lists the VM as leaving
	KindNotLeaving  = "stay"   // the platform no longer lists the VM as leaving
)

// Line is one line of a trace. AtSeconds is the time of a fault since the start
// of the trace, or the duration of the trace for KindTrace. LoadSeconds is the
// time to load a model from the weight store.
type Line struct {
	Kind        string         `json:"do"`
	AtSeconds   int            `json:"at,omitempty"`
	Name        string         `json:"name,omitempty"`
	Description string         `json:"about,omitempty"`
	VM          core.VMName    `json:"vm,omitempty"`
	Zone        core.Zone      `json:"zone,omitempty"`
	Domain      core.Domain    `json:"domain,omitempty"`
	Group       core.GroupName `json:"group,omitempty"`
	Size        int            `json:"size,omitempty"`
	Model       core.ModelName `json:"model,omitempty"`
	LoadSeconds int            `json:"load,omitempty"`
	PerMinute   float64        `json:"per_minute,omitempty"`
	Factor      float64        `json:"factor,omitempty"`
}

// Trace is a recorded trace.
type Trace struct {
	name           string
	description    string
	end            time.Duration
	vms            []core.VM
	groups         []Line
	loadTimes      map[core.ModelName]time.Duration
	loadsPerMinute float64
	faults         []Line
}

// Name returns the name of the trace.
func (tr *Trace) Name() string { return tr.name }

// Description returns the description of the trace.
func (tr *Trace) Description() string { return tr.description }

// Zones returns the zones of the VMs in ascending order.
func (tr *Trace) Zones() []core.Zone {
	var out []core.Zone
	for _, vm := range tr.vms {
		out = append(out, vm.Zone)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Read reads a trace. The error for an invalid line contains the line number.
func Read(src io.Reader) (*Trace, error) {
	tr := &Trace{loadTimes: make(map[core.ModelName]time.Duration)}
	scanner := bufio.NewScanner(src)
	for num := 1; scanner.Scan(); num++ {
		var line Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, fmt.Errorf("line %d: %w", num, err)
		}
		if err := tr.add(line); err != nil {
			return nil, fmt.Errorf("line %d: %w", num, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	if tr.end <= 0 || len(tr.vms) == 0 {
		return nil, fmt.Errorf("trace %q has no end or no VMs", tr.name)
	}
	for _, group := range tr.groups {
		if !slices.Contains(tr.Zones(), group.Zone) {
			return nil, fmt.Errorf("group %q is in zone %q, which has no VMs", group.Group, group.Zone)
		}
	}
	slices.SortStableFunc(tr.faults, func(a, b Line) int { return cmp.Compare(a.AtSeconds, b.AtSeconds) })
	return tr, nil
}

func (tr *Trace) add(line Line) error {
	switch line.Kind {
	case KindTrace:
		tr.name, tr.description, tr.end = line.Name, line.Description, seconds(line.AtSeconds)
	case KindVM:
		tr.vms = append(tr.vms, core.VM{Name: line.VM, Zone: line.Zone, Domain: line.Domain, Kind: core.VMEngine})
	case KindGroup:
		tr.groups = append(tr.groups, line)
	case KindModel:
		tr.loadTimes[line.Model] = seconds(line.LoadSeconds)
	case KindWeightStore:
		tr.loadsPerMinute = line.PerMinute
	case KindExit, KindRestart, KindPause, KindResume, KindUnreachable, KindReachable, KindSlowLoads, KindLeaving, KindNotLeaving:
		tr.faults = append(tr.faults, line)
	default:
		return fmt.Errorf("unknown kind %q", line.Kind)
	}
	return nil
}

func seconds(num int) time.Duration { return time.Duration(num) * time.Second }
