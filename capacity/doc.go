// Package capacity decides how many backend servers of a service there are to be, in which
// availability zones and of which kind: ordinary servers, or cheaper ones that the platform may
// reclaim. It knows neither a network nor who carries its orders out.
package capacity
