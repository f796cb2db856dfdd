package commands

import (
	"github.com/pkg/errors"
)

// ExitCode is the exit status of the program.
type ExitCode int

// The exit codes. Scripts rely on them; docs/operator.md lists them.
const (
	// ExitOK means that the command did what was asked.
	ExitOK ExitCode = 0
	// ExitFailed means that the command failed.
	ExitFailed ExitCode = 1
	// ExitUsage means that the arguments or the settings are wrong.
	ExitUsage ExitCode = 2
	// ExitNotRun means that nothing was changed. The command can be repeated.
	ExitNotRun ExitCode = 3
	// ExitUnknown means that it is unknown whether the change was accepted.
	ExitUnknown ExitCode = 4
	// ExitConflict means that another change was accepted first.
	ExitConflict ExitCode = 5
)

const exitCodeHelp = `Exit codes: 0 done, 1 failed, 2 wrong arguments or settings, 3 not run (nothing
changed, repeat the command), 4 unknown (repeat the command with the same --key),
5 conflict (another change was accepted first; look at it and decide again).`

// ExitError is an error with the exit code of the program.
type ExitError struct {
	code   ExitCode
	reason error
}

// Error returns the reason.
func (f *ExitError) Error() string { return f.reason.Error() }

// Unwrap returns the reason.
func (f *ExitError) Unwrap() error { return f.reason }

// fail returns an ExitError with the given exit code, or nil if there is no reason.
func fail(code ExitCode, reason error) error {
	if reason == nil {
		return nil
	}
	return &ExitError{code: code, reason: reason}
}

func failf(code ExitCode, format string, arguments ...any) error {
	return fail(code, errors.Errorf(format, arguments...))
}
