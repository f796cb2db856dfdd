// Package retry decides whether failed requests are sent again, and after which delay.
// The number of retries is limited by a budget that grows with the number of requests,
// so that retries do not make an overload worse. A budget does no I/O and reads no
// clock. It is not safe for concurrent use.
package retry
