// Package attainment counts how requests end: attainment (the share of requests
// that met their target) by class and tier, goodput, wasted tokens, sheds, queue
// wait and outcomes. Meter counts and has one owner; Collector owns a meter in a
// goroutine that a bounded channel feeds.
package attainment
