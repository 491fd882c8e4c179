package core

import (
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Code is a numeric result code. Codes are stable: a number is never reused.
// docs/RESULT-CODES.md lists all codes, and a test in io/oper/opcli checks the
// list against the constants below.
type Code uint16

// Result codes. 1xx: the request did not run. 2xx: the outcome is unknown.
// 3xx: settings and operator commands. 4xx: the platform's services. 5xx:
// groups and orders. 6xx: start and stop of the system's own processes.
const (
	CodeOK Code = 0

	CodeBadRequest      Code = 100
	CodeUnauthorized    Code = 101
	CodeNoModel         Code = 102
	CodeNoGroup         Code = 103
	CodeQueueFull       Code = 104
	CodeDeadline        Code = 105
	CodeOrgLimit        Code = 106
	CodeQuarantined     Code = 107
	CodeDraining        Code = 108
	CodeKeyExpired      Code = 109
	CodeClaimNoLog      Code = 110
	CodeRefused         Code = 111
	CodeDialFailed      Code = 112
	CodeNoService       Code = 113
	CodeHopLimit        Code = 114
	CodeKeyInProgress   Code = 115
	CodeKeyMismatch     Code = 116
	CodeRetryBudget     Code = 117
	CodeNotReady        Code = 118
	CodeCallerGone      Code = 119
	CodeTooLarge        Code = 120
	CodePeerUnreachable Code = 121
	CodeZoneEvacuated   Code = 122

	CodeUnknownOutcome Code = 200
	CodeUnknownOnce    Code = 201
	CodeCrossedAnswer  Code = 202
	CodeCutAnswer      Code = 203
	CodeSilent         Code = 204

	CodeSettingInvalid   Code = 300
	CodeSettingUnknown   Code = 301
	CodeSettingRaced     Code = 302
	CodeSettingUncertain Code = 303
	CodeNoSuchNode       Code = 304

	CodeLogRefused  Code = 400
	CodeLogUnknown  Code = 401
	CodeLogGap      Code = 402
	CodeLogDown     Code = 403
	CodeHashAlarm   Code = 404
	CodeSnapshotBad Code = 405
	CodeRecordBad   Code = 406

	CodeStaleOrder      Code = 500
	CodeMemberMissing   Code = 501
	CodeVMHeld          Code = 502
	CodeGeneration      Code = 503
	CodeMixedDomain     Code = 504
	CodeNotConfirmed    Code = 505
	CodeGroupUnknown    Code = 506
	CodeVMUnknown       Code = 507
	CodeNotRetired      Code = 508
	CodeClaimTaken      Code = 509
	CodeClaimNotHolder  Code = 510
	CodeDuplicateRecord Code = 511
	CodeRuleUnknown     Code = 512

	CodeConfigInvalid Code = 600
	CodeListenFailed  Code = 601
	CodeStopBound     Code = 602
)

// Error is an error with a result code and, if known, the delay after which a
// retry may succeed. It is immutable.
type Error struct {
	code       Code
	detail     string
	retryAfter time.Duration
}

var _ error = (*Error)(nil)

// Errorf returns an Error with the given code and the formatted detail.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{code: code, detail: fmt.Sprintf(format, args...)}
}

// Code returns the result code.
func (err *Error) Code() Code { return err.code }

// Detail returns the error text without the code.
func (err *Error) Detail() string { return err.detail }

// Error returns the code and the detail as one string.
func (err *Error) Error() string {
	return fmt.Sprintf("code %d: %s", err.code, err.detail)
}

// CodeOf returns the result code of the first Error in err's chain. It returns
// CodeOK for nil and CodeUnknownOutcome for an error without a code.
func CodeOf(err error) Code {
	if err == nil {
		return CodeOK
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.code
	}
	return CodeUnknownOutcome
}

// NotRun reports whether the code guarantees that the request did not run.
func (code Code) NotRun() bool { return code >= 100 && code < 200 }

// String returns the code in decimal.
func (code Code) String() string { return strconv.Itoa(int(code)) }

// ParseCode parses a code in the form that String returns. It reports whether
// text is a valid number.
func ParseCode(text string) (Code, bool) {
	num, err := strconv.ParseUint(text, 10, 16)
	return Code(num), err == nil
}

// WithRetryAfter returns a copy of err that also states the delay after which
// the caller may retry.
func WithRetryAfter(err *Error, delay time.Duration) *Error {
	copied := *err
	copied.retryAfter = delay
	return &copied
}

// RetryAfter returns the delay after which the caller may retry, or zero if
// the error does not state one.
func (err *Error) RetryAfter() time.Duration { return err.retryAfter }

// RetryAfterOf returns the retry delay of the first Error in err's chain, or
// zero if there is none.
func RetryAfterOf(err error) time.Duration {
	var coded *Error
	if errors.As(err, &coded) {
		return coded.retryAfter
	}
	return 0
}

// FailurePart returns the final part of a job that failed with err.
func FailurePart(err error) Part {
	part := Part{End: true, Code: CodeOf(err), Detail: err.Error(), RetryAfter: RetryAfterOf(err)}
	var coded *Error
	if errors.As(err, &coded) {
		part.Detail = coded.detail
	}
	return part
}
