// Package outcome defines how requests end and why they are refused, as
// reported to callers and operators and counted in metrics.
package outcome

import (
	"errors"
	"time"
)

// Outcome tells a caller whether its request was executed.
type Outcome string

// The outcomes of a request.
const (
	// Done means that the complete response was delivered.
	Done Outcome = "done"
	// NotRun means that no endpoint executed any part of the request.
	NotRun Outcome = "notRun"
	// Unknown means that an endpoint may have executed the request.
	Unknown Outcome = "unknown"
)

// Reason is the machine-readable cause of a refusal or a retry. Each reason has
// its own counter.
type Reason string

// The reasons for refusals and retries.
const (
	ReasonBadRequest      Reason = "badRequest"
	ReasonTooLarge        Reason = "tooLarge"
	ReasonHeadersTooLarge Reason = "headersTooLarge"
	ReasonBodyTimeout     Reason = "bodyTimeout"
	ReasonUnknownPath     Reason = "unknownPath"
	ReasonUnknownMethod   Reason = "unknownMethod"
	ReasonOverloaded      Reason = "overloaded"
	ReasonUnauthorized    Reason = "unauthorized"
	ReasonUnknownModel    Reason = "unknownModel"
	ReasonUnknownClass    Reason = "unknownClass"
	ReasonUnknownService  Reason = "unknownService"
	ReasonClassForbidden  Reason = "classForbidden"
	ReasonNotReady        Reason = "notReady"
	ReasonLeaving         Reason = "leaving"
	ReasonStaleTable      Reason = "staleTable"
	ReasonQueueFull       Reason = "queueFull"
	ReasonShed            Reason = "shed"
	ReasonTooLate         Reason = "tooLate"
	ReasonRateLimit       Reason = "rateLimit"
	ReasonConcurrency     Reason = "concurrencyLimit"
	ReasonNoLimitOwner    Reason = "noLimitOwner"
	ReasonDeadline        Reason = "deadline"
	ReasonNoEndpoint      Reason = "noEndpoint"
	ReasonNoCoordinator   Reason = "noCoordinator"
	ReasonConnect         Reason = "connectFailed"
	ReasonConnectionLost  Reason = "connectionLost"
	ReasonEndpointRefused Reason = "endpointRefused"
	ReasonEndpointFailed  Reason = "endpointFailed"
	ReasonTruncated       Reason = "truncated"
	ReasonWrongAnswer     Reason = "wrongAnswer"
	ReasonUnattributed    Reason = "unattributed"
	ReasonSilent          Reason = "silent"
	ReasonSuperseded      Reason = "superseded"
	ReasonPreempted       Reason = "preempted"
	ReasonCallerGone      Reason = "callerGone"
	ReasonStoreDown       Reason = "storeDown"
	ReasonInProgress      Reason = "inProgress"
	ReasonClaimUnknown    Reason = "claimUnknown"
	ReasonOtherBody       Reason = "otherBody"
	ReasonRetryBudget     Reason = "retryBudget"
	ReasonQuarantined     Reason = "quarantined"
	ReasonUnknownVersion  Reason = "unknownVersion"
	ReasonRepeatedID      Reason = "repeatedId"
	ReasonInternal        Reason = "internal"
)

// Refusal is the error of a request that was not answered completely.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// Message is a human-readable explanation.
	Message string
	// RetryAfter is zero if retrying would not help.
	RetryAfter time.Duration
	// Addresses lists other hosts to try; it may be empty.
	Addresses []string
	// Sent is the number of endpoints that have received the request.
	Sent int
}

// Error returns the reason and the message.
func (r *Refusal) Error() string {
	return string(r.Reason) + ": " + r.Message
}

// NotRunError returns a refusal of a request that no endpoint has executed.
func NotRunError(reason Reason, message string) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Message: message}
}

// UnknownError returns a refusal of a request that may have been executed.
func UnknownError(reason Reason, message string) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, Message: message}
}

// FromError returns the refusal in err's chain. Any other error is reported as
// internal with an unknown outcome, because the request may have been executed.
func FromError(err error) *Refusal {
	if refusal, ok := errors.AsType[*Refusal](err); ok {
		return refusal
	}
	return UnknownError(ReasonInternal, err.Error())
}
