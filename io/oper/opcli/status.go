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
	ovw, err := cmd.apl.overview()
	if err != nil {
		return err
	}
	return cmd.apl.show(ovw.Status, func(wri io.Writer) { ovw.text(wri) })
}

func (ovw overview) text(wri io.Writer) {
	ready := "ready"
	if !ovw.Ready {
		ready = "not ready, code " + codeText(ovw.Code) + ": " + clean(ovw.Reason)
	}
	printf(wri, "node    %s  %s\n", clean(string(ovw.Node)), ready)
	log := "reachable"
	if !ovw.Log.OK {
		log = "NOT reachable"
	}
	if ovw.Log.Detail != "" {
		log += " (" + clean(ovw.Log.Detail) + ")"
	}
	printf(wri, "log     %s  applied %d  hash %s\n", log, ovw.Log.Applied, clean(ovw.Log.Hash))
	down, unseen := ovw.groupsDown()
	printf(wri, "groups  %d serving, %d not", len(ovw.Groups)-len(down)-unseen, len(down))
	if unseen > 0 {
		printf(wri, ", %d in zones not asked", unseen)
	}
	stranded := strandedVMs(ovw.VMs)
	printf(wri, "\nvms     %d, stranded %d\n", len(ovw.VMs), len(stranded))
	printf(wri, "nodes   %d of %d live\n", liveNodes(ovw.Nodes), len(ovw.Nodes))
	printf(wri, "quarantined requests  %d\n", len(ovw.Quarantine))
	if len(down) > 0 {
		printf(wri, "\ngroups not serving\n")
		ovw.groupTable(wri, down)
	}
	if len(stranded) > 0 {
		printf(wri, "\nstranded VMs\n")
		vmTable(wri, stranded)
	}
	if len(ovw.Quarantine) > 0 {
		printf(wri, "\nquarantine\n")
		quarantineTable(wri, ovw.Quarantine)
	}
}

// groupsDown returns the groups that do not serve, and the number of those of
// which this is not known.
func (ovw overview) groupsDown() ([]oper.GroupStatus, int) {
	var out []oper.GroupStatus
	var unseen int
	for _, grp := range ovw.Groups {
		switch {
		case !ovw.seen.Has(grp.Zone):
			unseen++
		case !grp.Serving:
			out = append(out, grp)
		}
	}
	return out, unseen
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
		rows = append(rows, []string{qua.Fingerprint, strconv.Itoa(qua.Crashes), qua.Until.UTC().Format(time.RFC3339)})
	}
	table(wri, []string{"PRINT", "CRASHES", "UNTIL"}, rows)
}

type groupsCommand struct{ apl *app }

// Execute lists the groups.
func (cmd *groupsCommand) Execute([]string) error {
	ovw, err := cmd.apl.overview()
	if err != nil {
		return err
	}
	return cmd.apl.show(oper.Groups{Groups: ovw.Groups}, func(wri io.Writer) { ovw.groupTable(wri, ovw.Groups) })
}

func (ovw overview) groupTable(wri io.Writer, grps []oper.GroupStatus) {
	var rows [][]string
	for _, grp := range grps {
		serving := yesNo(grp.Serving)
		why := ""
		switch {
		case !ovw.seen.Has(grp.Zone):
			serving = "?"
			why = "ask an entry VM of zone " + string(grp.Zone)
		case !grp.Serving:
			why = codeText(grp.Code) + " " + strings.TrimPrefix(grp.Reason, "code "+codeText(grp.Code)+": ")
		}
		rows = append(rows, []string{
			string(grp.Name), string(grp.Model), grp.Version, string(grp.Zone), string(grp.Domain), string(grp.Phase),
			offsetText(grp.FencingToken), serving, strconv.Itoa(grp.InFlight), joined(grp.Members), why,
		})
	}
	head := []string{"GROUP", "MODEL", "VERSION", "ZONE", "DOMAIN", "PHASE", "ORDER", "SERVING", "RUNNING", "MEMBERS", "WHY NOT"}
	table(wri, head, rows)
}

type vmsCommand struct{ apl *app }

// Execute lists the backend servers.
func (cmd *vmsCommand) Execute([]string) error {
	ovw, err := cmd.apl.overview()
	if err != nil {
		return err
	}
	return cmd.apl.show(oper.VMs{VMs: ovw.VMs}, func(wri io.Writer) { vmTable(wri, ovw.VMs) })
}

func vmTable(wri io.Writer, vms []oper.VMStatus) {
	var rows [][]string
	for _, vm := range vms {
		rows = append(rows, []string{
			string(vm.Name), string(vm.Kind), string(vm.Zone), string(vm.Domain), string(vm.Group), string(vm.State),
			offsetText(vm.FencingToken), vm.ProbeAge, vmRemarks(vm),
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
	ovw, err := cmd.apl.overview()
	if err != nil {
		return err
	}
	return cmd.apl.show(oper.Nodes{Nodes: ovw.Nodes}, func(wri io.Writer) { nodeTable(wri, ovw.Nodes) })
}

func nodeTable(wri io.Writer, nods []oper.NodeStatus) {
	var rows [][]string
	for _, nod := range nods {
		rows = append(rows, []string{
			string(nod.Name), string(nod.Zone), nod.Addr, yesNo(nod.Live), offsetText(nod.Applied),
			nod.Hash, offsetText(nod.HashOffset), yesNo(nod.LogOK), strconv.Itoa(nod.InFlight), nodeRemarks(nod, nods),
		})
	}
	table(wri, []string{"NODE", "ZONE", "ADDR", "LIVE", "APPLIED", "HASH", "HASH AT", "LOG", "RUNNING", "REMARKS"}, rows)
}

func nodeRemarks(nod oper.NodeStatus, nods []oper.NodeStatus) string {
	var out []string
	if hashDiffers(nod, nods) {
		out = append(out, "HASH DIFFERS")
	}
	if nod.Stopping {
		out = append(out, "stopping")
	}
	if nod.Draining {
		out = append(out, "draining")
	}
	return strings.Join(out, ", ")
}
