package replica

import (
	"context"

	"github.com/pkg/errors"
)

// runApplier owns the state machine.
func runApplier(ctx context.Context, r *Replica, in <-chan order, out chan<- applied) {
	for {
		select {
		case o := <-in:
			if a, ok := r.carryOut(o); ok {
				select {
				case out <- a:
				case <-ctx.Done():
					return
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

func (r *Replica) carryOut(o order) (applied, bool) {
	machine := r.options.StateMachine
	switch {
	case o.barrier != nil:
		o.barrier.answer <- Result{Kind: Committed, Index: r.applied.Load()}
	case o.snapshot:
		return applied{index: r.applied.Load(), data: machine.Snapshot()}, true
	case o.task.restore != nil:
		if err := machine.Restore(o.task.restore.Data); err != nil {
			return applied{err: errors.Wrap(err, "replica: restore the snapshot")}, true
		}
		r.applied.Store(o.task.restore.Index)
	default:
		r.applyEntries(o)
	}
	return applied{}, false
}

func (r *Replica) applyEntries(o order) {
	for _, e := range o.task.entries {
		var value []byte
		if e.Kind == entryCommand {
			value = r.options.StateMachine.Apply(e.Index, e.Data)
		}
		r.applied.Store(e.Index)
		if answer, ok := o.answers[e.Index]; ok {
			answer <- Result{Kind: Committed, Index: e.Index, Value: value}
		}
	}
}
