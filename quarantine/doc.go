// Package quarantine finds requests, and parts of prompts, that end the backend servers that run
// them (poison requests), and decides which requests are tried alone or refused because of it. It
// needs no network.
//
// Evidence. A lost connection is none: EndChecks finds out whether the server has ended. When it
// has, each request that waited there or whose answer had just begun is held against its key,
// that is a digest of workspace, method, host, target and body, and against each part of its prompt,
// because a server can end before a byte of an answer arrives. A part that many of the recent requests
// to the service have is at most servers that end, so that only begun answers count against it. A prompt
// may have any number of parts; of one with very many, those are left out that are sound most likely, or
// that no other request has. A request that this process gave up at the server, because its caller left or
// another server was to answer, counts too if the end becomes known within a few seconds: it may have gone
// on running there. Requests that did not end their servers (survivals) speak for both, as far as servers of the
// same software version ended.
//
// Weight. Ends that come together have one cause in common, so they are one round and count once,
// and less the more other servers of the service end at that time or have ended lately. For
// example, three rounds of a service with 100 servers of which no others ended score 3, which is
// what a key without survivals needs. If 18 others ended together with one of the rounds, this one
// counts 0.44.
//
// Judgement. From two ends on a key is suspect: one request with it is sent at a time, as a trial,
// and others wait. A request with one end that was also given up at a server that may still end is
// sent as a trial too, but nobody waits for its outcome. A key is quarantined, so that requests are
// refused as certain, only if a trial ended its server too, no other suspect was at that server, and
// the score is reached. A request
// goes before the parts of its prompt where both explain the same ends; a part is quarantined only
// if different requests ended servers with it.
//
// Observations are records that can be merged in any order and any number of times, so that all
// entries come to the same judgement from what each of them has seen. A quarantine ends by
// itself: from time to time one request with the key is let through as a probe, less and less
// often while servers still end under it.
package quarantine
