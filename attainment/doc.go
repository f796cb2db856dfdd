// Package attainment counts how requests end, by class and tier: attainment (the share
// of requests that met their latency target), goodput, wasted tokens, sheds, queue wait
// and outcomes. Meter does the counting and is not safe for concurrent use. Collector
// runs a meter in its own goroutine and passes samples to it through a bounded channel.
package attainment
