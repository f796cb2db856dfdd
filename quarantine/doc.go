// Package quarantine finds parts of prompts that end the backend servers that answer them
// (poison requests), and decides which requests are refused because of it. It needs no
// network.
//
// When a server ends, each part of the requests whose answers had just begun there is a
// suspect. A part is quarantined once it was a suspect at several servers and was not
// answered whole in return. Observations are records that can be merged in any order and any
// number of times, so that all entries come to the same judgement from what each of them has
// seen. A quarantine ends by itself: from time to time one request with the part is let
// through as a probe, less and less often while servers still end under it.
package quarantine
