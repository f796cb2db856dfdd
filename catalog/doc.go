// Package catalog holds the whole configuration of an entry's HTTP routes: which
// requests go to which service, the workspaces with their keys, and the limits on
// callers. It comes as one document under a revision; the highest revision is in
// force. Machine is its replicated state.
package catalog
