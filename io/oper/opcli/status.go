package opcli

import (
	"io"
	"strconv"
	"strings"
	"time"

	"kumquathinge/io/oper"
)

type statusCommand struct{ apl *app }

// Execute shows what does not run as it should.
func (cmd *statusCommand) Execute([]string) error {
	var sta oper.Status
	err := cmd.apl.cln.get("/v1/status", nil, &sta)
	if err != nil {
		return err
	}
	return cmd.apl.show(sta, func(wri io.Writer) { statusText(wri, sta) })
}

func statusText(wri io.Writer, sta oper.Status) {
	ready := "ready"
	if !sta.Ready {
		ready = "not ready, code " + codeText(sta.Code) + ": " + clean(sta.Why)
	}
	printf(wri, "node    %s  %s\n", clean(string(sta.Node)), ready)
	log := "reachable"
	if !sta.Log.OK {
		log = "NOT reachable"
	}
	if sta.Log.Detail != "" {
		log += " (" + clean(sta.Log.Detail) + ")"
	}
	printf(wri, "log     %s  applied %d  hash %s\n", log, sta.Log.Applied, clean(sta.Log.Hash))
	down := groupsDown(sta.Groups)
	printf(wri, "groups  %d of %d serving\n", len(sta.Groups)-len(down), len(sta.Groups))
	stranded := strandedVMs(sta.VMs)
	printf(wri, "vms     %d, stranded %d\n", len(sta.VMs), len(stranded))
	printf(wri, "nodes   %d of %d live\n", liveNodes(sta.Nodes), len(sta.Nodes))
	printf(wri, "quarantined requests  %d\n", len(sta.Quarantine))
	if len(down) > 0 {
		printf(wri, "\ngroups not serving\n")
		groupTable(wri, down)
	}
	if len(stranded) > 0 {
		printf(wri, "\nstranded VMs\n")
		vmTable(wri, stranded)
	}
	if len(sta.Quarantine) > 0 {
		printf(wri, "\nquarantine\n")
		quarantineTable(wri, sta.Quarantine)
	}
}

func groupsDown(grps []oper.GroupStatus) []oper.GroupStatus {
	var out []oper.GroupStatus
	for _, grp := range grps {
		if !grp.Serving {
			out = append(out, grp)
		}
	}
	return out
}

func strandedVMs(vms []oper.VMStatus) []oper.VMStatus {
	var out []oper.VMStatus
	for _, vm := range vms {
		if vm.Stranded {
			out = append(out, vm)
		}
	}
	return out
}

func liveNodes(nods []oper.NodeStatus) int {
	var num int
	for _, nod := range nods {
		if nod.Live {
			num++
		}
	}
	return num
}

func quarantineTable(wri io.Writer, quas []oper.Quarantined) {
	var rows [][]string
	for _, qua := range quas {
		rows = append(rows, []string{qua.Print, strconv.Itoa(qua.Crashes), qua.Until.UTC().Format(time.RFC3339)})
	}
	table(wri, []string{"PRINT", "CRASHES", "UNTIL"}, rows)
}

type groupsCommand struct{ apl *app }

// Execute lists the groups.
func (cmd *groupsCommand) Execute([]string) error {
	var lst oper.Groups
	err := cmd.apl.cln.get("/v1/groups", nil, &lst)
	if err != nil {
		return err
	}
	return cmd.apl.show(lst, func(wri io.Writer) { groupTable(wri, lst.Groups) })
}

func groupTable(wri io.Writer, grps []oper.GroupStatus) {
	var rows [][]string
	for _, grp := range grps {
		why := ""
		if !grp.Serving {
			why = codeText(grp.Code) + " " + grp.Why
		}
		rows = append(rows, []string{
			string(grp.Name), string(grp.Model), grp.Version, string(grp.Zone), string(grp.Domain), string(grp.Phase),
			offsetText(grp.Order), yesNo(grp.Serving), strconv.Itoa(grp.InFlight), joined(grp.Members), why,
		})
	}
	head := []string{"GROUP", "MODEL", "VERSION", "ZONE", "DOMAIN", "PHASE", "ORDER", "SERVING", "RUNNING", "MEMBERS", "WHY NOT"}
	table(wri, head, rows)
}

type vmsCommand struct{ apl *app }

// Execute lists the backend servers.
func (cmd *vmsCommand) Execute([]string) error {
	var lst oper.VMs
	err := cmd.apl.cln.get("/v1/vms", nil, &lst)
	if err != nil {
		return err
	}
	return cmd.apl.show(lst, func(wri io.Writer) { vmTable(wri, lst.VMs) })
}

func vmTable(wri io.Writer, vms []oper.VMStatus) {
	var rows [][]string
	for _, vm := range vms {
		rows = append(rows, []string{
			string(vm.Name), string(vm.Kind), string(vm.Zone), string(vm.Domain), string(vm.Group), string(vm.State),
			offsetText(vm.Order), vm.ProbeAge, vmRemarks(vm),
		})
	}
	table(wri, []string{"VM", "KIND", "ZONE", "DOMAIN", "GROUP", "STATE", "ORDER", "PROBED", "REMARKS"}, rows)
}

func vmRemarks(vm oper.VMStatus) string {
	var out []string
	if !vm.Listed {
		out = append(out, "not listed")
	}
	if vm.Leaving {
		out = append(out, "leaving")
	}
	if vm.Draining {
		out = append(out, "draining")
	}
	if vm.Stranded {
		out = append(out, "stranded")
	}
	return strings.Join(out, ", ")
}

type nodesCommand struct{ apl *app }

// Execute lists the entry VMs.
func (cmd *nodesCommand) Execute([]string) error {
	var lst oper.Nodes
	err := cmd.apl.cln.get("/v1/nodes", nil, &lst)
	if err != nil {
		return err
	}
	return cmd.apl.show(lst, func(wri io.Writer) { nodeTable(wri, lst.Nodes) })
}

func nodeTable(wri io.Writer, nods []oper.NodeStatus) {
	var rows [][]string
	for _, nod := range nods {
		rows = append(rows, []string{
			string(nod.Name), string(nod.Zone), nod.Addr, yesNo(nod.Live), offsetText(nod.Applied),
			nod.Hash, offsetText(nod.HashAt), yesNo(nod.LogOK), strconv.Itoa(nod.InFlight), nodeRemarks(nod),
		})
	}
	table(wri, []string{"NODE", "ZONE", "ADDR", "LIVE", "APPLIED", "HASH", "HASH AT", "LOG", "RUNNING", "REMARKS"}, rows)
}

func nodeRemarks(nod oper.NodeStatus) string {
	var out []string
	if nod.Stopping {
		out = append(out, "stopping")
	}
	if nod.Draining {
		out = append(out, "draining")
	}
	return strings.Join(out, ", ")
}
