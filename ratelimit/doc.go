// Package ratelimit keeps the rate limits that backend servers name in their answers: the number
// of requests a second that a server takes from all entries together. It uses no network.
//
// Limits. An answer that names a limit begins it, and the next one that names another limit, or
// none, ends it. Answers overtake each other, so an answer counts as the next one only if its
// request was sent after the former answer had arrived; otherwise the stricter one holds. Entries
// tell each other the limits that they have learned (Limits).
//
// Shares. The control group divides a ring among the entries by their demand (Partition), and no
// two entries ever hold the same part of it. Each limited server has points on the ring, one for
// each request a second that it takes, at least one. The entries that hold its points are the
// only ones that send requests to it: a server with a low limit is used by few entries, and the
// rates of all entries add up to the limit.
//
// Fractions. A limit without positions, as the fixed number of retries of package retry, is divided
// in the same way by fractions of the whole. An entry keeps its fraction when others come and go,
// where its part of the ring may have to move.
//
// Rates. An entry sends to a limited server at the rate of the points that it holds (Limiter).
// Some unused requests are saved up, so that a limit is used although requests come unevenly.
// Within 4 s, a server that takes r requests a second gets at most 5.5 r + 5 requests.
//
// Bounds. An entry without a valid lease, or one that has just started, holds no part of the
// ring and sends nothing to servers that it knows to be limited. One that does not know of a
// limit yet learns it from the first answer of the server, or from another entry through control.
package ratelimit
