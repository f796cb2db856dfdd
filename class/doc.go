// Package class defines request classes: a latency target and a priority tier.
package class
