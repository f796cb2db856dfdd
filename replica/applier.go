package replica

import (
	"context"

	"github.com/pkg/errors"
)

// runApplier runs jobs until ctx ends. It is the only goroutine that uses the state machine.
func runApplier(ctx context.Context, r *Replica, in <-chan applierJob, out chan<- applied) {
	for {
		select {
		case o := <-in:
			if a, ok := r.runJob(o); ok {
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

// runJob runs a job and returns the snapshot or failure for the loop, if there is one.
func (r *Replica) runJob(o applierJob) (applied, bool) {
	machine := r.options.StateMachine
	switch {
	case o.barrier != nil:
		o.barrier.answer <- Result{Kind: Committed, Index: r.applied.Load()}
	case o.snapshot:
		return applied{index: r.applied.Load(), data: machine.Snapshot()}, true
	case o.task.snapshotToRestore != nil:
		if err := machine.Restore(o.task.snapshotToRestore.Data); err != nil {
			return applied{err: errors.Wrap(err, "replica: restore the snapshot")}, true
		}
		r.applied.Store(o.task.snapshotToRestore.Index)
	default:
		r.applyEntries(o)
	}
	return applied{}, false
}

// applyEntries applies committed entries and answers their waiting callers.
func (r *Replica) applyEntries(o applierJob) {
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
