package admission

import (
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// queued is an item in the queue with its position in each order.
type queued struct {
	Item
	sequence uint64
	// pinned marks work that was accepted and taken before. It may have run, so
	// shedding it as not run would be a lie.
	pinned    bool
	group     *group
	line      *line
	workspace *workspace

	// late marks work in the workspace's late order.
	late bool

	byDeadline, byTurn, byArrival, byNewest int
}

func (e *queued) sooner(other *queued) bool {
	if e.Deadline != other.Deadline {
		return e.Deadline < other.Deadline
	}
	return e.sequence < other.sequence
}

func (e *queued) older(other *queued) bool {
	if e.Arrived != other.Arrived {
		return e.Arrived < other.Arrived
	}
	return e.sequence < other.sequence
}

// workspace holds the waiting items of one workspace within a group.
type workspace struct {
	name string
	// turn orders the workspaces of a group: each is served once per round.
	turn uint64
	// timely and late hold the items in order of their deadlines. Late items have
	// missed theirs and go last: under overload, serving them first would make
	// every later item late as well.
	timely, late ordered[*queued]
	position     int
}

func newWorkspace(name string, turn uint64) *workspace {
	items := ordered[*queued]{
		before:   (*queued).sooner,
		position: func(e *queued) *int { return &e.byTurn },
	}
	return &workspace{name: name, turn: turn, timely: items, late: items}
}

func (w *workspace) len() int { return w.timely.Len() + w.late.Len() }

func (w *workspace) remove(e *queued) {
	if e.late {
		w.late.remove(e)
		return
	}
	w.timely.remove(e)
}

// next returns the item with the soonest deadline that has not passed, or the
// soonest of all when every deadline has. Work that was taken before counts as
// timely: it holds tokens that would be wasted.
func (w *workspace) next(now clock.Millis) *queued {
	for w.timely.Len() > 0 {
		e := w.timely.first()
		if e.pinned || e.Deadline >= now {
			return e
		}
		w.timely.remove(e)
		e.late = true
		w.late.add(e)
	}
	return w.late.first()
}

// group holds the waiting items of one class in one pool.
type group struct {
	class      class.Class
	deadlines  ordered[*queued]
	arrivals   ordered[*queued]
	workspaces map[string]*workspace
	turns      ordered[*workspace]
	rounds     uint64
}

func newGroup(c class.Class) *group {
	return &group{
		class:      c,
		workspaces: map[string]*workspace{},
		deadlines: ordered[*queued]{
			before:   (*queued).sooner,
			position: func(e *queued) *int { return &e.byDeadline },
		},
		arrivals: ordered[*queued]{
			before:   (*queued).older,
			position: func(e *queued) *int { return &e.byArrival },
		},
		turns: ordered[*workspace]{
			before:   func(a, b *workspace) bool { return a.turn < b.turn },
			position: func(w *workspace) *int { return &w.position },
		},
	}
}

func (g *group) len() int { return g.deadlines.Len() }

func (g *group) add(e *queued) {
	g.deadlines.add(e)
	g.arrivals.add(e)
	w, ok := g.workspaces[e.Workspace]
	if !ok {
		w = g.join(e.Workspace)
	}
	e.group = g
	e.workspace = w
	w.timely.add(e)
}

// join adds a workspace behind those that wait already, so that one that comes
// and goes is still served at most once per round.
func (g *group) join(name string) *workspace {
	g.rounds++
	w := newWorkspace(name, g.rounds)
	g.workspaces[name] = w
	g.turns.add(w)
	return w
}

func (g *group) remove(e *queued) {
	g.deadlines.remove(e)
	g.arrivals.remove(e)
	w := e.workspace
	w.remove(e)
	if w.len() > 0 {
		return
	}
	g.turns.remove(w)
	delete(g.workspaces, w.name)
}

// next returns the next item of the workspace whose turn it is.
func (g *group) next(now clock.Millis) *queued {
	return g.turns.first().next(now)
}

// served moves a workspace that still waits to the end of the round.
func (g *group) served(w *workspace) {
	if w.len() == 0 {
		return
	}
	g.rounds++
	w.turn = g.rounds
	g.turns.fix(w)
}

// before reports whether the group is served before other in tier and deadline
// order.
func (g *group) before(other *group) bool {
	if g.class.Tier() != other.class.Tier() {
		return g.class.Tier().HasPriorityOver(other.class.Tier())
	}
	return g.deadlines.first().sooner(other.deadlines.first())
}

// line holds the items of one class in all pools that can be shed.
type line struct {
	class  class.Class
	newest ordered[*queued]
}

func newLine(c class.Class) *line {
	return &line{class: c, newest: ordered[*queued]{
		before:   func(a, b *queued) bool { return b.older(a) },
		position: func(e *queued) *int { return &e.byNewest },
	}}
}
