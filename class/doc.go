// Package class defines request classes. A class has a latency target and a
// priority tier.
package class
