package check

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity is how serious a finding is.
type Severity string

// Severities. A configuration with an error is not taken, or a part of it can't
// work. A warning is probably not intended.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Code identifies the kind of a finding. Codes are stable: scripts rely on them.
type Code string

// Codes of findings.
const (
	CodeSyntax              Code = "syntax"
	CodeType                Code = "type"
	CodeUnknownField        Code = "unknown-field"
	CodeDuplicateField      Code = "duplicate-field"
	CodeVersion             Code = "version"
	CodeVersionNotHigher    Code = "version-not-higher"
	CodeRange               Code = "range"
	CodeUnknownKind         Code = "unknown-kind"
	CodeMissing             Code = "missing"
	CodeDuplicateName       Code = "duplicate-name"
	CodeDuplicateRoute      Code = "duplicate-route"
	CodePrefixStart         Code = "prefix-start"
	CodePrefixEnd           Code = "prefix-end"
	CodeNoTarget            Code = "no-target"
	CodeZeroWeights         Code = "zero-weights"
	CodeTargetTwice         Code = "target-twice"
	CodeUnknownService      Code = "unknown-service"
	CodeNoModels            Code = "no-models"
	CodeDuplicateModel      Code = "duplicate-model"
	CodeLatencyAboveTimeout Code = "latency-above-timeout"
	CodeGapAboveTimeout     Code = "gap-above-timeout"
	CodeHeaderAboveIdle     Code = "header-above-idle"
	CodeColdIncomplete      Code = "cold-incomplete"
	CodePromptAboveMemory   Code = "prompt-above-memory"
	CodeNoKeys              Code = "no-keys"
	CodeEmptyKey            Code = "empty-key"
	CodeDuplicateKey        Code = "duplicate-key"
)

// Finding is a fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	Path     string   `json:"path"`
	Line     int      `json:"line"`
	Message  string   `json:"message"`
}

// String returns the finding as one line.
func (fnd Finding) String() string {
	return fmt.Sprintf("%d: %s %s: %s", fnd.Line, fnd.Severity, strings.TrimSpace(string(fnd.Code)+" "+fnd.Path), fnd.Message)
}

// Errorf returns an error at the place.
func Errorf(place Place, code Code, format string, args ...any) Finding {
	return newFinding(SeverityError, place, code, format, args...)
}

// Warnf returns a warning at the place.
func Warnf(place Place, code Code, format string, args ...any) Finding {
	return newFinding(SeverityWarning, place, code, format, args...)
}

func newFinding(severity Severity, place Place, code Code, format string, args ...any) Finding {
	return Finding{Severity: severity, Code: code, Path: place.Path, Line: place.Line, Message: fmt.Sprintf(format, args...)}
}

// Sort sorts findings by line, then by path and code.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(one, two Finding) int {
		return cmp.Or(cmp.Compare(one.Line, two.Line), cmp.Compare(one.Path, two.Path), cmp.Compare(one.Code, two.Code))
	})
}
