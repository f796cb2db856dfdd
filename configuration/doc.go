// Package configuration implements what operators configure: request classes and
// planned stops. A Configuration is an immutable value with a revision. Machine
// applies a change only if it is based on the current revision, and answers a
// change that is resent under the same idempotency key with its first answer.
package configuration
