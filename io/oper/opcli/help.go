package opcli

const (
	helpGet = `Get shows the values in force at a node of the settings tree, each with the node that sets it.

Examples:
  kumctl get /models/alerts-70b
  kumctl get --own /
  kumctl -o json get /orgs/huellas org.weight`

	helpExplain = `Explain shows each value of the key at the node and above it, nearest first. The first is in force.

Example:
  kumctl explain /models/alerts-70b/groups/g1 group.size`

	helpSet = `Set sets a key of a node. The change names the version of the node that it was made from: the present one, or that of --base. If somebody else was first, it is rejected and nothing changes.

VALUE is JSON. Quotes may be left out around texts and durations.

Examples:
  kumctl set /models/alerts-70b group.size 8 --note "8 VMs a copy"
  kumctl set /zones/a probe.interval 200ms
  kumctl set /models/alerts-70b model.adapters '["lima","arequipa"]' --base 41`

	helpUnset = `Unset removes a key of a node, which then inherits the value.

Example:
  kumctl unset /models/alerts-70b group.size`

	helpCheckConfig = `Check-config reads a configuration of the users' platform and prints what is wrong with it, one line a finding: file, line, severity, code, path and text. No entry VM is asked.

With --against it also prints what was added, removed and changed, and what of it moves traffic, takes access away or opens it.

The exit code is 0 without findings, 1 with findings or changes that affect callers, and 2 if a file can't be read or compared with.

Examples:
  kumctl check-config new.json
  kumctl check-config new.json --against present.json --json`

	helpDiff = `Diff compares a file with what is in force. The file is a JSON object of nodes; each is an object of keys. A key whose value is null is to be inherited; a key or node that the file does not name stays as it is. The exit code is 1 if there are differences.

Example:
  echo '{"/models/alerts-70b":{"group.size":8}}' >want.json
  kumctl diff want.json`

	helpApply = `Apply makes the changes that diff shows, one after another, and stops at the first that is not accepted. It may be run again.

Example:
  kumctl apply want.json --note "more VMs a copy"`

	helpHistory = `History shows the changes of one node, oldest first, the rejected ones included.

Example:
  kumctl history /models/alerts-70b`

	helpAudit = `Audit shows the changes of all nodes and groups behind an offset, oldest first.

Example:
  kumctl audit --after 1200 --max 50`

	helpOutcome = `Outcome shows what became of the change with the ID.

Example:
  kumctl outcome 0b6f2c1e-64a5-4b4e-9c57-0e3d5c0f7a11`

	helpStatus = `Status shows the log as the first entry VM sees it, the groups that do not serve and why, stranded VMs, entry VMs, and quarantined requests. An entry VM knows the groups and VMs of its own zone; name one of each zone to see all.

Example:
  kumctl -s 10.0.0.1:7080,10.0.0.2:7080 status`

	helpLists = `Lists what the entry VMs that answer know together. Each knows the groups and VMs of its own zone.

Examples:
  kumctl groups
  kumctl -o json vms
  kumctl nodes`

	helpDrain = `Drain gives a VM, a group or an entry VM no new work; undrain ends that.

Examples:
  kumctl drain vm vm-17 --note "memory errors"
  kumctl drain group g1
  kumctl undrain node entry-2`

	helpRule = `Rule turns on a rule of the log, which can't be turned off. Entry VMs that don't know
it stop following the log: upgrade all of them first. Rule 1 checks assignments against
the settings of their group, rule 2 enables the setting zone.evacuated.

Example:
  kumctl rule 2`

	helpCodes = `Codes lists the result codes, or explains one.

Examples:
  kumctl codes
  kumctl codes 302`

	helpCompletion = `Completion prints a script that completes commands, flags, keys and paths.

Example:
  source <(kumctl completion bash)`
)
