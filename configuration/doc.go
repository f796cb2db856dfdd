// Package configuration holds what operators configure: classes and planned
// stops. Configuration is an immutable value with a revision; Machine applies
// changes to it by compare-and-set and answers a resent change with its first
// answer.
package configuration
