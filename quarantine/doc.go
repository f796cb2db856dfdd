// Package quarantine finds parts of prompts that end the backend servers that answer them
// (poison requests), and decides which requests are refused because of it. It needs no
// network.
//
// A lost connection is no evidence: EndChecks finds out whether the server has ended. When it
// has, each part of the requests whose answers had just begun there is a suspect. Ends that come
// together have one cause in common, so they count once, and less if other servers of the
// service end at the same time or often; requests that did not end their servers (survivals)
// speak for a part. A suspect part is tried: one request with it is sent at a time, the others
// wait. It is quarantined only if a trial ended its server too.
//
// Observations are records that can be merged in any order and any number of times, so that all
// entries come to the same judgement from what each of them has seen. A quarantine ends by
// itself: from time to time one request with the part is let through as a probe, less and less
// often while servers still end under it.
package quarantine
