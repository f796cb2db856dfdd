// Package placement plans which models to load on which servers, and which
// servers change their role. Only the control leader plans. Its term is the
// fencing token of its orders, which are resent until the server's report shows
// their effect.
package placement
