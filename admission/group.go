package admission

import (
	"github.com/galenaslip/galenaslip/class"
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
	turn     uint64
	items    ordered[*queued]
	position int
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
	w.items.add(e)
}

// join adds a workspace behind those that wait already, so that one that comes
// and goes is still served at most once per round.
func (g *group) join(name string) *workspace {
	g.rounds++
	w := &workspace{name: name, turn: g.rounds, items: ordered[*queued]{
		before:   (*queued).sooner,
		position: func(e *queued) *int { return &e.byTurn },
	}}
	g.workspaces[name] = w
	g.turns.add(w)
	return w
}

func (g *group) remove(e *queued) {
	g.deadlines.remove(e)
	g.arrivals.remove(e)
	w := e.workspace
	w.items.remove(e)
	if w.items.Len() > 0 {
		return
	}
	g.turns.remove(w)
	delete(g.workspaces, w.name)
}

// next returns the soonest item of the workspace whose turn it is.
func (g *group) next() *queued {
	return g.turns.first().items.first()
}

// served moves a workspace that still waits to the end of the round.
func (g *group) served(w *workspace) {
	if w.items.Len() == 0 {
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
		return g.class.Tier().Above(other.class.Tier())
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
