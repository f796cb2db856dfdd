// Package retry decides whether failed requests are sent again, and after which delay, so that
// retries do not make an overload worse. It does no I/O and reads no clock.
//
// A Budget is that of one entry alone: it grows with the entry's requests. A SharedBudget is that of
// one of several entries whose retries are bounded together, whichever of them start again, join or
// leave.
package retry
