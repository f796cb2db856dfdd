// Package catalog holds the complete configuration of the HTTP routes: which
// requests go to which service, the workspaces with their API keys, and the limits
// on callers. The configuration is one document with a revision number; the highest
// revision is in force. Machine is the state machine that control replicates.
package catalog
