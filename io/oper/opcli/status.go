package opcli

import (
	"io"
	"strconv"
	"strings"
	"time"

	"kumquathinge/io/oper"
)

type statusCommand struct{ app *cliApp }

// Execute prints a summary, and details of what is not working.
func (cmd *statusCommand) Execute([]string) error {
	merged, err := cmd.app.fetchStatus()
	if err != nil {
		return err
	}
	return cmd.app.printResult(merged.Status, func(w io.Writer) { merged.writeText(w) })
}

func (merged mergedStatus) writeText(w io.Writer) {
	ready := "ready"
	if !merged.Ready {
		ready = "not ready, code " + codeText(merged.Code) + ": " + replaceUnprintable(merged.Reason)
	}
	printf(w, "node    %s  %s\n", replaceUnprintable(string(merged.Node)), ready)
	log := "reachable"
	if !merged.Log.OK {
		log = "NOT reachable"
	}
	if merged.Log.Detail != "" {
		log += " (" + replaceUnprintable(merged.Log.Detail) + ")"
	}
	printf(w, "log     %s  applied %d  hash %s\n", log, merged.Log.Applied, replaceUnprintable(merged.Log.Hash))
	down, unknown := merged.downGroups()
	printf(w, "groups  %d serving, %d not", len(merged.Groups)-len(down)-unknown, len(down))
	if unknown > 0 {
		printf(w, ", %d in zones not asked", unknown)
	}
	stranded := strandedVMs(merged.VMs)
	printf(w, "\nvms     %d, stranded %d\n", len(merged.VMs), len(stranded))
	printf(w, "nodes   %d of %d live\n", liveNodes(merged.Nodes), len(merged.Nodes))
	printf(w, "quarantined requests  %d\n", len(merged.Quarantine))
	if len(down) > 0 {
		printf(w, "\ngroups not serving\n")
		merged.writeGroups(w, down)
	}
	if len(stranded) > 0 {
		printf(w, "\nstranded VMs\n")
		writeVMs(w, stranded)
	}
	if len(merged.Quarantine) > 0 {
		printf(w, "\nquarantine\n")
		writeQuarantine(w, merged.Quarantine)
	}
}

// downGroups returns the groups that do not serve, and the number of groups whose
// state is unknown since no entry VM of their zone responded.
func (merged mergedStatus) downGroups() ([]oper.GroupStatus, int) {
	var out []oper.GroupStatus
	var unknown int
	for _, group := range merged.Groups {
		switch {
		case !merged.answeredZones.Has(group.Zone):
			unknown++
		case !group.Serving:
			out = append(out, group)
		}
	}
	return out, unknown
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

func liveNodes(nodes []oper.NodeStatus) int {
	var n int
	for _, node := range nodes {
		if node.Live {
			n++
		}
	}
	return n
}

func writeQuarantine(w io.Writer, entries []oper.Quarantined) {
	var rows [][]string
	for _, entry := range entries {
		rows = append(rows, []string{entry.Fingerprint, strconv.Itoa(entry.Crashes), entry.Until.UTC().Format(time.RFC3339)})
	}
	writeTable(w, []string{"PRINT", "CRASHES", "UNTIL"}, rows)
}

type groupsCommand struct{ app *cliApp }

// Execute lists the groups.
func (cmd *groupsCommand) Execute([]string) error {
	merged, err := cmd.app.fetchStatus()
	if err != nil {
		return err
	}
	return cmd.app.printResult(oper.Groups{Groups: merged.Groups}, func(w io.Writer) { merged.writeGroups(w, merged.Groups) })
}

func (merged mergedStatus) writeGroups(w io.Writer, groups []oper.GroupStatus) {
	var rows [][]string
	for _, group := range groups {
		serving := yesNo(group.Serving)
		reason := ""
		switch {
		case !merged.answeredZones.Has(group.Zone):
			serving = "?"
			reason = "ask an entry VM of zone " + string(group.Zone)
		case !group.Serving:
			reason = codeText(group.Code) + " " + strings.TrimPrefix(group.Reason, "code "+codeText(group.Code)+": ")
		}
		rows = append(rows, []string{
			string(group.Name), string(group.Model), group.Version, string(group.Zone), string(group.Domain), string(group.Phase),
			offsetText(group.FencingToken), serving, strconv.Itoa(group.InFlight), joinNames(group.Members), reason,
		})
	}
	header := []string{"GROUP", "MODEL", "VERSION", "ZONE", "DOMAIN", "PHASE", "ORDER", "SERVING", "RUNNING", "MEMBERS", "WHY NOT"}
	writeTable(w, header, rows)
}

type vmsCommand struct{ app *cliApp }

// Execute lists the backend servers.
func (cmd *vmsCommand) Execute([]string) error {
	merged, err := cmd.app.fetchStatus()
	if err != nil {
		return err
	}
	return cmd.app.printResult(oper.VMs{VMs: merged.VMs}, func(w io.Writer) { writeVMs(w, merged.VMs) })
}

func writeVMs(w io.Writer, vms []oper.VMStatus) {
	var rows [][]string
	for _, vm := range vms {
		rows = append(rows, []string{
			string(vm.Name), string(vm.Kind), string(vm.Zone), string(vm.Domain), string(vm.Group), string(vm.State),
			offsetText(vm.FencingToken), vm.ProbeAge, vmRemarks(vm),
		})
	}
	writeTable(w, []string{"VM", "KIND", "ZONE", "DOMAIN", "GROUP", "STATE", "ORDER", "PROBED", "REMARKS"}, rows)
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

type nodesCommand struct{ app *cliApp }

// Execute lists the entry VMs.
func (cmd *nodesCommand) Execute([]string) error {
	merged, err := cmd.app.fetchStatus()
	if err != nil {
		return err
	}
	return cmd.app.printResult(oper.Nodes{Nodes: merged.Nodes}, func(w io.Writer) { writeNodes(w, merged.Nodes) })
}

func writeNodes(w io.Writer, nodes []oper.NodeStatus) {
	var rows [][]string
	for _, node := range nodes {
		rows = append(rows, []string{
			string(node.Name), string(node.Zone), node.Addr, yesNo(node.Live), offsetText(node.Applied),
			node.Hash, offsetText(node.HashOffset), yesNo(node.LogOK), strconv.Itoa(node.InFlight), nodeRemarks(node, nodes),
		})
	}
	writeTable(w, []string{"NODE", "ZONE", "ADDR", "LIVE", "APPLIED", "HASH", "HASH AT", "LOG", "RUNNING", "REMARKS"}, rows)
}

func nodeRemarks(node oper.NodeStatus, nodes []oper.NodeStatus) string {
	var out []string
	if hashDiffers(node, nodes) {
		out = append(out, "HASH DIFFERS")
	}
	if node.Stopping {
		out = append(out, "stopping")
	}
	if node.Draining {
		out = append(out, "draining")
	}
	return strings.Join(out, ", ")
}
