package opcli

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"kumquathinge/core/check"
	"kumquathinge/platform"
)

var (
	// errFindings is returned if a configuration has findings.
	errFindings = errors.New("the configuration has findings")
	// errUnreadable is returned if a file can't be read, or not be compared with.
	errUnreadable = errors.New("unreadable file")
)

type checkConfigCommand struct {
	app     *cliApp
	Against string   `long:"against" value-name:"FILE" description:"Configuration to compare with, for example the one in force"`
	JSON    bool     `long:"json" description:"Print JSON, like --output json"`
	Args    fileArgs `positional-args:"yes"`
}

// configReport is the output of check-config.
type configReport struct {
	Findings []check.Finding `json:"findings"`
	// Changes are those from the file that is compared with.
	Changes []check.Change `json:"changes,omitempty"`
}

// clean reports whether there is nothing that an operator has to look at. Changes
// without an effect on callers are expected: a version to send always has some.
func (report configReport) clean() bool {
	return len(report.Findings) == 0 &&
		!slices.ContainsFunc(report.Changes, func(chg check.Change) bool { return chg.Effect != check.EffectNone })
}

// offline marks the command as one that needs no entry VM.
func (cmd *checkConfigCommand) offline() {}

// Execute prints the findings. It returns errFindings if there are any, or
// changes that affect callers.
func (cmd *checkConfigCommand) Execute([]string) error {
	if cmd.JSON {
		cmd.app.Output = outputJSON
	}
	report, err := cmd.report()
	if err != nil {
		return err
	}
	err = cmd.app.printResult(report, func(w io.Writer) { cmd.write(w, report) })
	if err == nil && !report.clean() {
		return errFindings
	}
	return err
}

func (cmd *checkConfigCommand) report() (configReport, error) {
	report := configReport{Findings: []check.Finding{}}
	raw, err := cmd.readConfig(cmd.Args.File)
	if err != nil {
		return report, err
	}
	doc, findings := platform.DecodeDocument(raw)
	report.Findings = append(report.Findings, findings...)
	var before *check.Document
	if cmd.Against != "" {
		before, err = cmd.decodeAgainst()
		if err != nil {
			return report, err
		}
	}
	if doc == nil {
		return report, nil
	}
	report.Findings = append(report.Findings, check.Validate(doc)...)
	if before != nil {
		report.Findings = append(report.Findings, check.ValidateVersion(doc, before)...)
		report.Changes = check.Compare(before, doc)
	}
	check.Sort(report.Findings)
	return report, nil
}

func (cmd *checkConfigCommand) readConfig(name string) ([]byte, error) {
	raw, err := cmd.app.readFile(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	if len(raw) == maxFileBytes {
		return nil, fmt.Errorf("%w: %s is larger than %d bytes", errUnreadable, name, maxFileBytes-1)
	}
	return raw, nil
}

// decodeAgainst returns the document to compare with. It must be a configuration that
// can be decoded, or the comparison would be incomplete.
func (cmd *checkConfigCommand) decodeAgainst() (*check.Document, error) {
	raw, err := cmd.readConfig(cmd.Against)
	if err != nil {
		return nil, err
	}
	doc, findings := platform.DecodeDocument(raw)
	for _, finding := range findings {
		if finding.Severity == check.SeverityError {
			return nil, fmt.Errorf("%w: can't compare with %s:%s", errUnreadable, cmd.Against, finding)
		}
	}
	return doc, nil
}

// write prints one line for each finding and then one for each change. What was removed
// is named by its line in the file that is compared with.
func (cmd *checkConfigCommand) write(w io.Writer, report configReport) {
	for _, finding := range report.Findings {
		printf(w, "%s:%s\n", cmd.Args.File, finding)
	}
	for _, change := range report.Changes {
		name := cmd.Args.File
		if change.Kind == check.KindRemoved {
			name = cmd.Against
		}
		printf(w, "%s:%s\n", name, change)
	}
}
