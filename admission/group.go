package admission

import (
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// queuedItem is an item in the queue with its position in each heap.
type queuedItem struct {
	Item
	sequence uint64 // order of insertion
	// requeued marks an item that was queued again after it got a slot. It may have
	// run, so it is never shed: callers are told that shed items were not run.
	requeued  bool
	group     *group
	shedList  *shedList // nil if requeued
	workspace *workspace

	// overdue marks an item that is in the heap workspace.overdue.
	overdue bool

	// Positions in group.byDeadline, in the heap of the workspace, in group.byArrival and
	// in shedList.newest.
	deadlineIndex, workspaceIndex, arrivalIndex, shedIndex int
}

// hasEarlierDeadline orders items by deadline, then by the order of insertion.
func (e *queuedItem) hasEarlierDeadline(other *queuedItem) bool {
	if e.Deadline != other.Deadline {
		return e.Deadline < other.Deadline
	}
	return e.sequence < other.sequence
}

// arrivedBefore orders items by arrival time, then by the order of insertion.
func (e *queuedItem) arrivedBefore(other *queuedItem) bool {
	if e.Arrived != other.Arrived {
		return e.Arrived < other.Arrived
	}
	return e.sequence < other.sequence
}

// workspace contains the waiting items of one workspace within a group.
type workspace struct {
	name string
	// turn is the round-robin position: in a group, the workspace with the lowest turn
	// is served next and then gets a new highest turn.
	turn uint64
	// notOverdue and overdue contain the items in order of their deadlines. Overdue
	// items have missed their deadlines and are served last: under overload, serving
	// them first would make every later item late as well.
	notOverdue, overdue indexedHeap[*queuedItem]
	position            int // position in group.byTurn
}

func newWorkspace(name string, turn uint64) *workspace {
	items := indexedHeap[*queuedItem]{
		before:   (*queuedItem).hasEarlierDeadline,
		position: func(e *queuedItem) *int { return &e.workspaceIndex },
	}
	return &workspace{name: name, turn: turn, notOverdue: items, overdue: items}
}

func (w *workspace) len() int { return w.notOverdue.Len() + w.overdue.Len() }

func (w *workspace) remove(e *queuedItem) {
	if e.overdue {
		w.overdue.remove(e)
		return
	}
	w.notOverdue.remove(e)
}

// next returns the item with the earliest deadline that has not passed. If all
// deadlines have passed, it returns the item with the earliest one. Items that were
// queued again never count as overdue, because the tokens that they have already
// produced would be wasted.
func (w *workspace) next(now clock.Millis) *queuedItem {
	for w.notOverdue.Len() > 0 {
		e := w.notOverdue.first()
		if e.requeued || e.Deadline >= now {
			return e
		}
		w.notOverdue.remove(e)
		e.overdue = true
		w.overdue.add(e)
	}
	return w.overdue.first()
}

// group contains the waiting items of one class in one pool.
type group struct {
	class      class.Class
	byDeadline indexedHeap[*queuedItem]
	byArrival  indexedHeap[*queuedItem]
	workspaces map[string]*workspace // by name
	byTurn     indexedHeap[*workspace]
	lastTurn   uint64 // highest turn given to a workspace
}

func newGroup(c class.Class) *group {
	return &group{
		class:      c,
		workspaces: map[string]*workspace{},
		byDeadline: indexedHeap[*queuedItem]{
			before:   (*queuedItem).hasEarlierDeadline,
			position: func(e *queuedItem) *int { return &e.deadlineIndex },
		},
		byArrival: indexedHeap[*queuedItem]{
			before:   (*queuedItem).arrivedBefore,
			position: func(e *queuedItem) *int { return &e.arrivalIndex },
		},
		byTurn: indexedHeap[*workspace]{
			before:   func(a, b *workspace) bool { return a.turn < b.turn },
			position: func(w *workspace) *int { return &w.position },
		},
	}
}

func (g *group) len() int { return g.byDeadline.Len() }

func (g *group) add(e *queuedItem) {
	g.byDeadline.add(e)
	g.byArrival.add(e)
	w, ok := g.workspaces[e.Workspace]
	if !ok {
		w = g.addWorkspace(e.Workspace)
	}
	e.group = g
	e.workspace = w
	w.notOverdue.add(e)
}

// addWorkspace adds a workspace behind those that already wait. A workspace whose
// queue becomes empty and fills again is thus still served at most once per round.
func (g *group) addWorkspace(name string) *workspace {
	g.lastTurn++
	w := newWorkspace(name, g.lastTurn)
	g.workspaces[name] = w
	g.byTurn.add(w)
	return w
}

func (g *group) remove(e *queuedItem) {
	g.byDeadline.remove(e)
	g.byArrival.remove(e)
	w := e.workspace
	w.remove(e)
	if w.len() > 0 {
		return
	}
	g.byTurn.remove(w)
	delete(g.workspaces, w.name)
}

// next returns the item to serve next, which is of the workspace whose turn it is.
func (g *group) next(now clock.Millis) *queuedItem {
	return g.byTurn.first().next(now)
}

// endTurn moves a workspace that was served behind the others, if it still has waiting
// items.
func (g *group) endTurn(w *workspace) {
	if w.len() == 0 {
		return
	}
	g.lastTurn++
	w.turn = g.lastTurn
	g.byTurn.fix(w)
}

// before reports whether the group is served before other: the higher tier first,
// then the group with the earliest deadline.
func (g *group) before(other *group) bool {
	if g.class.Tier() != other.class.Tier() {
		return g.class.Tier().HasPriorityOver(other.class.Tier())
	}
	return g.byDeadline.first().hasEarlierDeadline(other.byDeadline.first())
}

// shedList contains the items of one class, in all pools, that were never queued
// again and so can be shed. The newest item is first.
type shedList struct {
	class  class.Class
	newest indexedHeap[*queuedItem]
}

func newShedList(c class.Class) *shedList {
	return &shedList{class: c, newest: indexedHeap[*queuedItem]{
		before:   func(a, b *queuedItem) bool { return b.arrivedBefore(a) },
		position: func(e *queuedItem) *int { return &e.shedIndex },
	}}
}
