// Package promptcache estimates which parts of prompts backend servers keep cached. It uses no network.
//
// The IDs of parts come from callers, so that their number has no bound. A Table remembers a bounded
// number of parts for all servers together and keeps hashes in place of IDs. A part that is forgotten
// early only makes the estimated work of a request too high.
package promptcache
