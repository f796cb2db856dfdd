// Package load runs experiments against entries: it sends the requests of a
// scenario through the caller API, applies faults to stand-ins at given times,
// checks each answer and reports attainment, goodput, wasted work and latency.
//
// Arrivals are open-loop and follow from the scenario's seed alone, so that a
// slow router does not slow down its own load.
package load
