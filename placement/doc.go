// Package placement plans which models to load on which engines, and which engines
// change their role. Only the leader of the control members plans. Its term is the
// fencing token of its orders. An order is resent until an announcement of the engine
// shows its effect.
package placement
