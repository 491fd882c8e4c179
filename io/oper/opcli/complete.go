package opcli

import (
	"strings"

	"github.com/jessevdk/go-flags"

	"kumquathinge/core/tree"
	"kumquathinge/io/oper"
)

// bashScript calls kumctl with GO_FLAGS_COMPLETION set, so that go-flags prints
// the completions of the command line.
const bashScript = `_kumctl() {
	local IFS=$'\n'
	local words=("${COMP_WORDS[@]:1:COMP_CWORD}")
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${words[@]}"))
}
complete -F _kumctl kumctl
`

type completionCommand struct {
	app  *cliApp
	Args struct {
		Shell shellArg `positional-arg-name:"bash" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the completion script.
func (cmd *completionCommand) Execute([]string) error {
	if cmd.Args.Shell != "bash" {
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: "no completion for this shell, only for bash"}
	}
	printf(cmd.app.stdout, "%s", bashScript)
	return nil
}

// pathArg, keyArg, kindArg and shellArg are positional arguments with completion.
type (
	pathArg  string
	keyArg   string
	kindArg  string
	shellArg string
)

var (
	_ flags.Completer = (*pathArg)(nil)
	_ flags.Completer = (*keyArg)(nil)
	_ flags.Completer = (*kindArg)(nil)
	_ flags.Completer = (*shellArg)(nil)
)

// Complete returns the prefixes of the paths of settings nodes.
func (*pathArg) Complete(match string) []flags.Completion {
	return completionsFor(match, "/", "/models/", "/nodes/", "/orgs/", "/services/", "/vms/", "/zones/")
}

// Complete returns the keys of the schema.
func (*keyArg) Complete(match string) []flags.Completion {
	var out []string
	for _, key := range tree.Keys() {
		out = append(out, key.Name)
	}
	return completionsFor(match, out...)
}

// Complete returns the kinds of drain targets.
func (*kindArg) Complete(match string) []flags.Completion {
	return completionsFor(match, string(oper.KindVM), string(oper.KindGroup), string(oper.KindNode))
}

// Complete returns the supported shells.
func (*shellArg) Complete(match string) []flags.Completion { return completionsFor(match, "bash") }

func completionsFor(match string, words ...string) []flags.Completion {
	var out []flags.Completion
	for _, word := range words {
		if strings.HasPrefix(word, match) {
			out = append(out, flags.Completion{Item: word})
		}
	}
	return out
}
