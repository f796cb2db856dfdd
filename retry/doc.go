// Package retry decides whether failed work is sent again and after which delay.
// A budget that grows with the number of requests keeps retries from adding to
// an overload. A budget is pure, and one goroutine owns it.
package retry
