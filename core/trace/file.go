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

// Kinds of line. Those from KindDie on are faults and have a time.
const (
	KindTrace  = "trace"
	KindVM     = "vm"
	KindGroup  = "group"
	KindModel  = "model"
	KindStore  = "store"
	KindDie    = "die"    // the process ends
	KindReturn = "return" // the VM has a new process, which holds nothing
	KindPause  = "pause"  // the process stops running, its state is kept
	KindResume = "resume" // the process runs on
	KindDark   = "dark"   // the domain can't be reached
	KindLight  = "light"  // the domain can be reached again
	KindSlow   = "slow"   // loads take Factor times as long
	KindLeave  = "leave"  // the platform's list names the VM as leaving
	KindStay   = "stay"   // the platform's list no longer does
)

// Line is one line of a trace. At is the number of seconds from the start;
// for KindTrace it is the end. Load is in seconds.
type Line struct {
	Do        string         `json:"do"`
	At        int            `json:"at,omitempty"`
	Name      string         `json:"name,omitempty"`
	About     string         `json:"about,omitempty"`
	VM        core.VMName    `json:"vm,omitempty"`
	Zone      core.Zone      `json:"zone,omitempty"`
	Domain    core.Domain    `json:"domain,omitempty"`
	Group     core.GroupName `json:"group,omitempty"`
	Size      int            `json:"size,omitempty"`
	Model     core.ModelName `json:"model,omitempty"`
	Load      int            `json:"load,omitempty"`
	PerMinute float64        `json:"per_minute,omitempty"`
	Factor    float64        `json:"factor,omitempty"`
}

// Trace is a recorded trace.
type Trace struct {
	name   string
	about  string
	end    time.Duration
	vms    []core.VM
	groups []Line
	loads  map[core.ModelName]time.Duration
	rate   float64
	faults []Line
}

// Name returns the name of the trace.
func (trc *Trace) Name() string { return trc.name }

// About returns what the trace is of.
func (trc *Trace) About() string { return trc.about }

// Zones returns the zones of the VMs in ascending order.
func (trc *Trace) Zones() []core.Zone {
	var out []core.Zone
	for _, vmx := range trc.vms {
		out = append(out, vmx.Zone)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Read reads a trace. Its error names the line that is not understood.
func Read(rdr io.Reader) (*Trace, error) {
	trc := &Trace{loads: make(map[core.ModelName]time.Duration)}
	scn := bufio.NewScanner(rdr)
	for num := 1; scn.Scan(); num++ {
		var lin Line
		if err := json.Unmarshal(scn.Bytes(), &lin); err != nil {
			return nil, fmt.Errorf("line %d: %w", num, err)
		}
		if err := trc.add(lin); err != nil {
			return nil, fmt.Errorf("line %d: %w", num, err)
		}
	}
	if err := scn.Err(); err != nil {
		return nil, err
	}
	if trc.end <= 0 || len(trc.vms) == 0 {
		return nil, fmt.Errorf("trace %q has no end or no VMs", trc.name)
	}
	for _, grp := range trc.groups {
		if !slices.Contains(trc.Zones(), grp.Zone) {
			return nil, fmt.Errorf("group %q is in zone %q, which has no VMs", grp.Group, grp.Zone)
		}
	}
	slices.SortStableFunc(trc.faults, func(ali, bli Line) int { return cmp.Compare(ali.At, bli.At) })
	return trc, nil
}

func (trc *Trace) add(lin Line) error {
	switch lin.Do {
	case KindTrace:
		trc.name, trc.about, trc.end = lin.Name, lin.About, seconds(lin.At)
	case KindVM:
		trc.vms = append(trc.vms, core.VM{Name: lin.VM, Zone: lin.Zone, Domain: lin.Domain, Kind: core.VMEngine})
	case KindGroup:
		trc.groups = append(trc.groups, lin)
	case KindModel:
		trc.loads[lin.Model] = seconds(lin.Load)
	case KindStore:
		trc.rate = lin.PerMinute
	case KindDie, KindReturn, KindPause, KindResume, KindDark, KindLight, KindSlow, KindLeave, KindStay:
		trc.faults = append(trc.faults, lin)
	default:
		return fmt.Errorf("kind %q is unknown", lin.Do)
	}
	return nil
}

func seconds(num int) time.Duration { return time.Duration(num) * time.Second }
