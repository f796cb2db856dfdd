package relay_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
)

// resetAfterHead begins an answer and resets the connection, as when something between the relay
// and the server drops it. The server goes on listening.
func resetAfterHead(req receivedRequest) {
	write(req, "HTTP/1.1 200 OK\r\nId: "+req.head.Get("Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\ndat")
	if tcp, ok := req.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = req.conn.Close()
}

// Guards against proper requests that are refused with status 400 after a relay's connections
// to several servers were reset at the same moment, although these servers go on serving: a
// lost connection alone does not mean that its server has ended.
func TestResetConnectionsAreNoEndsOfServers(t *testing.T) {
	var sound atomic.Bool
	var servers []*backend
	for range 6 {
		servers = append(servers, newBackend(t, func(req receivedRequest) {
			if !sound.Load() {
				resetAfterHead(req)
				return
			}
			respondOK(req, "whole")
		}))
	}
	s := newFixture(t, servers...)
	c := s.client()
	for i := range 3 {
		c.ask("system session", fmt.Sprint(i))
		c.wantStatus(502)
	}
	sound.Store(true)
	s.advanceToNextCheck(1000)
	for i := range 3 {
		c.ask("system session", fmt.Sprintf("after-%d", i))
		c.wantStatus(200)
	}
	if got := s.relay.State().Suspects; len(got) != 0 {
		t.Errorf("suspects: got %+v, want none", got)
	}
}
