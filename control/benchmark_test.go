package control_test

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/galenaslip/galenaslip/claim"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/lease"
)

// cpuTime returns the processor time that this process has used so far. All
// members and clients run in this process.
func cpuTime(b *testing.B) clock.Millis {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return clock.Millis(usage.Utime.Sec+usage.Stime.Sec)*clock.Second + clock.Millis(usage.Utime.Usec+usage.Stime.Usec)/1000
}

// newLeaderClient starts a group and returns a client that calls its leader.
func newLeaderClient(b *testing.B, members int) *control.Client {
	b.Helper()
	g := newGroup(b, members)
	return g.newClient([]string{g.memberOptions[g.leader()].Listen})
}

// BenchmarkClaims measures the three commits of a once-only call: claimed,
// sent and answered. One operation is one call.
func BenchmarkClaims(b *testing.B) {
	for _, members := range []int{1, 3} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			client := newLeaderClient(b, members)
			var serial atomic.Uint64
			before := cpuTime(b)
			b.SetParallelism(16)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					key := control.NewIdempotencyKey()
					attempt := claim.Attempt{Owner: claim.Owner{Entry: "e1", Incarnation: 1}, ID: fmt.Sprint(serial.Add(1))}
					client.Acquire(b.Context(), key, "hash", attempt)
					client.MarkSent(b.Context(), key, attempt)
					if got := client.EndAttempt(b.Context(), key, attempt, claim.Answered, claim.Answer{Status: 200}); got.Result.State != claim.Answered {
						b.Errorf("got %+v", got)
					}
				}
			})
			b.ReportMetric(3*float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(1000*float64(cpuTime(b)-before)/float64(3*b.N), "cpu-us/commit")
		})
	}
}

// BenchmarkChange measures configuration changes made one after the other.
func BenchmarkChange(b *testing.B) {
	for _, members := range []int{1, 3} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			client := newLeaderClient(b, members)
			revision := uint64(0)
			for b.Loop() {
				got := client.Change(b.Context(), revision, setClassTarget(1), control.NewIdempotencyKey())
				if got.Answer.Revision != revision+1 {
					b.Fatalf("got %+v", got)
				}
				revision++
			}
		})
	}
}

// BenchmarkRenewHTTP measures lease renewals over HTTP. The processor time
// includes the client.
func BenchmarkRenewHTTP(b *testing.B) {
	g := newGroup(b, 1)
	var bytes atomic.Int64
	client := g.newClient([]string{countingProxy(b, g.memberOptions["c1"].Listen, &bytes)})
	renewal := lease.Renewal{Entry: "entry-1", Incarnation: 1, Address: "10.0.0.1:8080", AvailabilityZone: "az-1"}
	client.Renew(b.Context(), renewal)
	before := cpuTime(b)
	bytes.Store(0)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if grant, reply := client.Renew(b.Context(), renewal); !grant.Granted {
				b.Errorf("got %+v", reply)
			}
		}
	})
	used := cpuTime(b) - before
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/renewal")
	b.ReportMetric(1000*float64(used)/float64(b.N), "cpu-us/renewal")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "renewals/s")
}

// countingProxy starts a TCP proxy to the target that counts the bytes of both
// directions, and returns its address.
func countingProxy(b *testing.B, target string, bytes *atomic.Int64) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	copyBytes := func(to, from net.Conn) {
		_, _ = io.Copy(to, io.TeeReader(from, byteCounter{bytes}))
		_ = to.Close()
	}
	go func() {
		for {
			clientConn, err := listener.Accept()
			if err != nil {
				return
			}
			targetConn, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go copyBytes(clientConn, targetConn)
			go copyBytes(targetConn, clientConn)
		}
	}()
	return listener.Addr().String()
}

// byteCounter is a writer that counts the bytes written to it.
type byteCounter struct{ bytes *atomic.Int64 }

func (c byteCounter) Write(data []byte) (int, error) {
	c.bytes.Add(int64(len(data)))
	return len(data), nil
}

// BenchmarkSnapshot measures creating and restoring a snapshot of claims (records
// of once-only calls) that contain an answer. The state machine cannot apply
// commands during that time.
func BenchmarkSnapshot(b *testing.B) {
	for _, claims := range []int{1000, 100_000} {
		m := control.NewMachine()
		for i := range claims {
			key, attempt := control.NewIdempotencyKey(), claim.Attempt{Owner: claim.Owner{Entry: "e1", Incarnation: 1}, ID: fmt.Sprint(i)}
			answer := claim.Answer{Status: 200, Headers: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, 200)}
			for _, c := range []claim.Command{claim.Acquire{Key: key, BodyHash: key, Attempt: attempt}, claim.MarkSent{Key: key, Attempt: attempt}, claim.EndAttempt{Key: key, Attempt: attempt, State: claim.Answered, Answer: answer}} {
				data, err := claim.EncodeCommand(c)
				if err != nil {
					b.Fatal(err)
				}
				m.Apply(1, fmt.Appendf(nil, `{"at_ms":%d,"claim":%s}`, clock.New().Wall(), data))
			}
		}
		b.Run(fmt.Sprintf("take/claims=%d", claims), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(len(m.Snapshot())), "bytes")
			}
		})
		snapshot := m.Snapshot()
		b.Run(fmt.Sprintf("restore/claims=%d", claims), func(b *testing.B) {
			for b.Loop() {
				if err := control.NewMachine().Restore(snapshot); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkIdleGroup measures the network traffic and processor time of an idle
// group of three voters and one standby. One operation is one second. Nearly
// every message is sent or received by the leader, so the bytes are close to
// the traffic of the leader's node.
func BenchmarkIdleGroup(b *testing.B) {
	const size = 4
	g := &group{t: b, clock: clock.New(), memberOptions: map[string]control.Options{}, running: map[string]*control.Control{}, release: map[string]func(){}}
	var bytes atomic.Int64
	members, addresses := make([]control.Member, size), freeAddresses(size)
	for i := range members {
		members[i] = control.Member{Name: fmt.Sprintf("c%d", i+1), Address: countingProxy(b, addresses[i], &bytes)}
	}
	for i, m := range members {
		g.memberOptions[m.Name] = control.Options{
			Name: m.Name, Listen: addresses[i], Advertise: m.Address, Folder: b.TempDir(),
			Members: members, Clock: g.clock, Logger: event.Discard(),
		}
		g.start(m.Name)
	}
	g.client = g.newClient(addresses)
	g.eventually("every member", func() bool { return len(g.members()) == size })
	g.clock.Sleep(b.Context(), 2*clock.Second)
	before := cpuTime(b)
	bytes.Store(0)
	for b.Loop() {
		g.clock.Sleep(b.Context(), clock.Second)
	}
	b.ReportMetric(float64(bytes.Load())/b.Elapsed().Seconds(), "bytes/s")
	b.ReportMetric(float64(cpuTime(b)-before)/b.Elapsed().Seconds(), "cpu-ms/s")
}
