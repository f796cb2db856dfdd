// Package outcome defines how a request can end. Every request ends with exactly
// one of these outcomes.
package outcome

// Kind is the final outcome of a request.
type Kind string

// The outcomes.
const (
	// Answered means that the caller received the whole answer.
	Answered Kind = "answered"
	// NotRun means that no backend server has run any part of the request.
	NotRun Kind = "not_run"
	// Unknown means that the request may have run, wholly or in part.
	Unknown Kind = "unknown"
)

// Reason is the reason why a request was not run or why its outcome is unknown.
type Reason string

// The reasons. A caller receives the reason as the "code" of the error object.
const (
	ReasonNone               Reason = ""
	ReasonInvalidRequest     Reason = "invalid_request"
	ReasonUnauthorized       Reason = "unauthorized"
	ReasonUnknownClass       Reason = "unknown_class"
	ReasonUnknownModel       Reason = "unknown_model"
	ReasonUnknownService     Reason = "unknown_service"
	ReasonTooLarge           Reason = "body_too_large"
	ReasonShed               Reason = "shed"
	ReasonOverloaded         Reason = "overloaded"
	ReasonTargetCannotBeMet  Reason = "target_cannot_be_met"
	ReasonNoLease            Reason = "configuration_lease_lapsed"
	ReasonStopping           Reason = "stopping"
	ReasonNoServer           Reason = "no_backend_server"
	ReasonBackendRefused     Reason = "backend_refused"
	ReasonBackendLost        Reason = "backend_lost"
	ReasonAnswerIncomplete   Reason = "answer_incomplete"
	ReasonCallerGone         Reason = "caller_gone"
	ReasonKeyMissing         Reason = "idempotency_key_missing"
	ReasonKeyInvalid         Reason = "idempotency_key_invalid"
	ReasonKeyReused          Reason = "idempotency_key_reused"
	ReasonKeyExpired         Reason = "idempotency_key_expired"
	ReasonCallInProgress     Reason = "call_in_progress"
	ReasonControlUnavailable Reason = "control_unavailable"
	ReasonRequestNotFound    Reason = "request_not_found"
	ReasonQuarantined        Reason = "quarantined"
	ReasonSuspect            Reason = "request_suspect"
)
