package control

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
)

// memoryLog is a single member that keeps nothing on disk.
type memoryLog struct {
	mu      sync.Mutex
	machine *Machine
	self    LogMember
	index   uint64
}

func newMemoryLog(machine *Machine, self LogMember) *memoryLog {
	self.Voter, self.Leader = true, true
	return &memoryLog{machine: machine, self: self}
}

func (l *memoryLog) Propose(_ context.Context, command []byte) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return Result{Kind: Committed, Value: l.machine.Apply(l.index, command)}
}

func (l *memoryLog) Barrier(context.Context) Result { return Result{Kind: Committed} }

func (l *memoryLog) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Status{
		Leads: true, Term: 1, Leader: l.self.Address, Commit: l.index, Applied: l.index,
		Lease: clock.Second, Members: []LogMember{l.self},
	}
}

func (l *memoryLog) ChangeMember(context.Context, MemberChange) Result {
	return Result{Kind: NotLeader}
}

func (l *memoryLog) TransferLeadership(context.Context, string) Result {
	return Result{Kind: NotLeader}
}

func (l *memoryLog) Receive([]byte) (string, error) {
	return "", errors.New("a single member has no peers")
}
