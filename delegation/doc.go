// Package delegation decides what a control member that does not lead may promise to
// entries on behalf of the leader, and which member an entry asks. It needs no network.
//
// The leader confirms to a member which revision of the catalog is the newest. The member
// passes this on to its entries, so that the leader answers a few members in place of
// hundreds of entries. An entry's lease counts from the time at which the member asked the
// leader, never from a later one: a lease that was passed on ends no later than one that
// the leader would have granted to the member itself.
package delegation
