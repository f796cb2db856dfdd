// Package load runs experiments against entries: it sends the requests of a
// scenario through the caller API, applies faults to stand-ins at given times,
// checks each answer and reports attainment, goodput, wasted work and latency.
//
// Arrivals are open-loop: their times depend only on the scenario and its seed, never on
// the answers. A slow router therefore gets the same load as a fast one.
package load
