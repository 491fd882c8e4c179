package opcli

import (
	"io"
	"strconv"

	"kumquathinge/core"
)

// CodeInfo explains a result code. Action is what the caller or operator should
// do.
type CodeInfo struct {
	Code    core.Code `json:"code"`
	Name    string    `json:"name"`
	Meaning string    `json:"meaning"`
	Action  string    `json:"action"`
}

var codeInfos = []CodeInfo{
	{core.CodeOK, "OK", "Done.", "Nothing."},
	{core.CodeBadRequest, "BadRequest", "The request is malformed; it did not run.", "Correct the request."},
	{core.CodeUnauthorized, "Unauthorized", "The key is missing or not known; the request did not run.", "Use a key whose hash is in org.key_hashes, or an operator's key."},
	{core.CodeNoModel, "NoModel", "No model or adapter of this name is served; the request did not run.", "Correct the name, or create a group for the model."},
	{core.CodeNoGroup, "NoGroup", "No group of the model can serve now; the request did not run.", "Try again later; operators see kumctl status for why."},
	{core.CodeQueueFull, "QueueFull", "The queue is full; the request did not run.", "Try again after the time that the answer states."},
	{core.CodeDeadline, "Deadline", "The request can't be done by its deadline; it did not run.", "Try again after the time that the answer states, or with a later deadline."},
	{core.CodeOrgLimit, "OrgLimit", "The organisation's limit is reached; the request did not run.", "Try again after the time that the answer states; operators may raise org.* limits."},
	{core.CodeQuarantined, "Quarantined", "The request, or a part of its prompt, crashed backend servers before and is refused for a time; it did not run.", "Do not send it again unchanged; operators see kumctl status."},
	{core.CodeDraining, "Draining", "The group, VM or entry VM takes no new work; the request did not run.", "Try again; another one takes it."},
	{core.CodeKeyExpired, "KeyExpired", "The request was issued before the window for idempotency keys; it did not run.", "Find out by other means whether it ran before; issue it anew with a new key."},
	{core.CodeClaimNoLog, "ClaimNoLog", "A request that must not be repeated needs the log, which can't be reached; it did not run.", "Send it again with the same key later."},
	{core.CodeRefused, "Refused", "The backend server refused the request; it did not run.", "Try again."},
	{core.CodeDialFailed, "DialFailed", "No connection to the backend server could be opened; the request did not run.", "Try again; operators see kumctl vms."},
	{core.CodeNoService, "NoService", "No plain service of this name is routed to, or none of its servers is there; the request did not run.", "Correct the name; operators see service.enabled and kumctl vms."},
	{core.CodeHopLimit, "HopLimit", "The request was forwarded once already; it did not run.", "Try again; operators see kumctl groups for zones that can't serve."},
	{core.CodeKeyInProgress, "KeyInProgress", "The request with this key is in progress; this sending did not run.", "Send it again with the same key later to get the result."},
	{core.CodeKeyMismatch, "KeyMismatch", "The key was used for a request with other content; this one did not run.", "Use a new key for a new request."},
	{core.CodeRetryBudget, "RetryBudget", "The node's retry budget is used up; no attempt ran.", "Try again later; operators look for failing backend servers."},
	{core.CodeNotReady, "NotReady", "The entry VM is not ready yet; the request did not run.", "Try again or ask another entry VM."},
	{core.CodeCallerGone, "CallerGone", "The caller went away before the request was dispatched; it did not run.", "Nothing."},
	{core.CodeTooLarge, "TooLarge", "The request is larger than allowed; it did not run.", "Send a smaller one."},
	{core.CodePeerUnreachable, "PeerUnreachable", "The entry VM that was to take the request can't be reached; it did not run.", "Try again; operators see kumctl nodes."},
	{core.CodeZoneEvacuated, "ZoneEvacuated", "All servers that could take the request are in zones that operators have evacuated; the request did not run.", "Try again after the time that the answer states; operators see which zones are evacuated."},
	{core.CodeUnknownOutcome, "UnknownOutcome", "The request may have run.", "Repeat it only if that does no harm."},
	{core.CodeUnknownOnce, "UnknownOnce", "The request ran at most once; its result is not known.", "Find out by other means whether it ran; do not issue it with a new key before."},
	{core.CodeCrossedAnswer, "CrossedAnswer", "The answer belonged to another request, process, model or assignment and was dropped; the request may have run.", "As for 200; operators look for what mixes up connections."},
	{core.CodeCutAnswer, "CutAnswer", "The answer ended early or had a gap; the request may have run.", "As for 200; a stream may be resumed from the last position seen."},
	{core.CodeSilent, "Silent", "The connection went silent; the request may have run.", "As for 203."},
	{core.CodeSettingInvalid, "SettingInvalid", "The value has the wrong type, unit or range, or the key has no place at this node; nothing changed.", "Correct the value; kumctl explain shows the type."},
	{core.CodeSettingUnknown, "SettingUnknown", "No setting has this key; nothing changed.", "Correct the key; kumctl get shows those of a node."},
	{core.CodeSettingRaced, "SettingRaced", "The node was changed after the version that the change was made from; nothing changed.", "Look at the node again and decide anew."},
	{core.CodeSettingUncertain, "SettingUncertain", "It is not known whether the change was accepted.", "Ask by kumctl outcome ID, or send it again with --id ID."},
	{core.CodeNoSuchNode, "NoSuchNode", "The path names no node of the settings tree; nothing changed.", "Correct the path."},
	{core.CodeLogRefused, "LogRefused", "The log service refused the append; nothing changed.", "Try again."},
	{core.CodeLogUnknown, "LogUnknown", "The answer of the log service was lost; the record may be appended.", "Ask for the record by its ID."},
	{core.CodeLogGap, "LogGap", "The log no longer holds what the node has to read next, ends before it, came back from an older copy or serves one.", "The node takes the state from a peer; if none has it, operators see the page on operations."},
	{core.CodeLogDown, "LogDown", "The log service, or the list of VMs, can't be read.", "Serving goes on; changes have to wait."},
	{core.CodeHashAlarm, "HashAlarm", "Two nodes have different states at one offset.", "Stop changing settings; replace the node that differs from the others; report it."},
	{core.CodeSnapshotBad, "SnapshotBad", "A snapshot is damaged or needs a newer program.", "The node takes another one; if it stays, upgrade the node."},
	{core.CodeRecordBad, "RecordBad", "A record can't be read or was written by a newer program.", "If a node stays behind its peers, upgrade it."},
	{core.CodeStaleOrder, "StaleOrder", "An engine holds a newer order.", "Nothing: the newer order stands."},
	{core.CodeMemberMissing, "MemberMissing", "A member of the group is missing, so that the group does not serve.", "Wait for the repair; operators see kumctl vms for the member."},
	{core.CodeVMHeld, "VMHeld", "A VM belongs to another group; the assignment was rejected.", "Nothing: the proposer chooses others."},
	{core.CodeGeneration, "Generation", "The group was assigned anew since; the record was rejected.", "Nothing: the proposer looks again."},
	{core.CodeMixedDomain, "MixedDomain", "The VMs are not what the group's settings say; the assignment was rejected.", "Check group.size and group.domain."},
	{core.CodeNotConfirmed, "NotConfirmed", "The node has not confirmed its view in time, so that it sends no orders.", "Nothing if it passes; else look for a log that is slow or down."},
	{core.CodeGroupUnknown, "GroupUnknown", "No group of this name is known.", "Correct the name; kumctl groups lists them."},
	{core.CodeVMUnknown, "VMUnknown", "No VM of this name is known.", "Correct the name; kumctl vms lists them."},
	{core.CodeNotRetired, "NotRetired", "The assignment is not retired; the record was rejected.", "Nothing: the proposer looks again."},
	{core.CodeClaimTaken, "ClaimTaken", "An earlier claim of the key stands.", "Nothing: the caller gets the earlier claim's result."},
	{core.CodeClaimNotHolder, "ClaimNotHolder", "The record on a claim is not from its holder.", "Nothing: the holder's record counts."},
	{core.CodeDuplicateRecord, "DuplicateRecord", "A record with this ID was there before.", "Use another ID for another change."},
	{core.CodeRuleUnknown, "RuleUnknown", "The log turned on a rule that this program does not know; the node stopped following.", "Upgrade the node."},
	{core.CodeConfigInvalid, "ConfigInvalid", "The start file is wrong.", "Correct what the error names."},
	{core.CodeListenFailed, "ListenFailed", "The process can't listen on its address.", "Free the address, or correct the start file."},
	{core.CodeStopBound, "StopBound", "The stop's bound was reached with requests in progress.", "Raise stop.bound if such requests are to be waited for."},
}

// CodeInfos returns the explanations of all result codes, in the order of their
// numbers.
func CodeInfos() []CodeInfo { return append([]CodeInfo{}, codeInfos...) }

type codesCommand struct {
	app  *cliApp
	Args struct {
		Code []uint16 `positional-arg-name:"CODE"`
	} `positional-args:"yes"`
}

// Execute prints the explanations of the given codes, or of all if none is given.
func (cmd *codesCommand) Execute([]string) error {
	infos := CodeInfos()
	if len(cmd.Args.Code) > 0 {
		infos = []CodeInfo{}
	}
	for _, n := range cmd.Args.Code {
		info, ok := findCodeInfo(core.Code(n))
		if !ok {
			return resultErrorf(core.CodeBadRequest, "no result code %d", n)
		}
		infos = append(infos, info)
	}
	return cmd.app.printResult(infos, func(w io.Writer) {
		var rows [][]string
		for _, info := range infos {
			exit := strconv.Itoa(ExitCode(info.Code))
			rows = append(rows, []string{info.Code.String(), info.Name, exit, info.Meaning, info.Action})
		}
		writeTable(w, []string{"CODE", "NAME", "EXIT", "MEANING", "WHAT TO DO"}, rows)
	})
}

func findCodeInfo(code core.Code) (CodeInfo, bool) {
	for _, info := range codeInfos {
		if info.Code == code {
			return info, true
		}
	}
	return CodeInfo{}, false
}
