package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Traffic of the case with requests that follow each other on one channel.
const (
	channels       = 10
	followUpAfter  = 300 * time.Millisecond // from the first request to the second one, while the first answer comes
	continueWait   = time.Second            // how long a client waits for 100 Continue before it sends the body
	followUpEvents = 10
	followUpPause  = 80 * time.Millisecond
)

// playContinue sends two requests on each of several channels. The second one has a body and asks for
// 100 Continue. With trouble it is sent while the answer to the first one comes, otherwise after it.
func playContinue(s *site, trouble bool) ([]string, error) {
	if err := s.startGroup(baseManifest(1)); err != nil {
		return nil, err
	}
	if _, err := s.startRelay(0); err != nil {
		return nil, err
	}
	for i, service := range []string{appService, modelService} {
		v := s.newServer(i, service)
		v.answer = func(c net.Conn, r *http.Request, body []byte) bool {
			id := r.Header.Get("X-Request-Id")
			s.rec.line("server: %s runs %s, body of %d bytes", v.id, id, len(body))
			if strings.HasPrefix(r.URL.Path, orderPath) {
				return writeOK(c, r, "order "+id)
			}
			return writeStream(c, r, followUpEvents, followUpPause)
		}
		if err := v.start(); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(0); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	var broken []string
	for i := range channels {
		if problem := s.twoRequests(i, trouble); problem != "" {
			broken = append(broken, problem)
		}
	}
	if len(broken) == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("MIXED: on %d of %d channels; the first: %s", len(broken), channels, broken[0])}, nil
}

// twoRequests sends a request for a stream and an order on one channel. It returns what was wrong with
// the answers.
func (s *site) twoRequests(number int, overlap bool) string {
	c, err := net.DialTimeout("tcp", s.frontAddress(0), time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	var received strings.Builder
	reader := bufio.NewReader(io.TeeReader(c, &received))
	first, second, order := newRequestID(), newRequestID(), "order"
	firstHead := requestHead("POST", fmt.Sprintf("%s%d", reviewPath, number), first, 4*time.Second, "Content-Length: 6\r\n") + "prompt"
	secondHead := requestHead("POST", fmt.Sprintf("%s%d", orderPath, number), second, 4*time.Second,
		fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", len(order)))
	if _, err := io.WriteString(c, firstHead); err != nil {
		return err.Error()
	}
	s.rec.line("client: channel %d: sent %s (stream)", number, first)
	sent := make(chan error, 1)
	if overlap {
		go func() {
			time.Sleep(followUpAfter)
			s.rec.line("client: channel %d: sent the head of %s (order, Expect: 100-continue)", number, second)
			_, err := io.WriteString(c, secondHead)
			time.Sleep(continueWait)
			if err == nil {
				_, err = io.WriteString(c, order)
			}
			sent <- err
		}()
	}
	a := readAnswer(reader)
	events := strings.Count(a.body, "data: ")
	s.rec.line("client: channel %d: answer to %s: status %d, id %s, %d events of %d, error %v", number, first, a.status, a.id, events, followUpEvents, a.err)
	if a.err != nil || a.status != 200 || a.id != first || events != followUpEvents {
		s.rec.line("client: channel %d: received %q", number, received.String())
		return fmt.Sprintf("the answer to the first request cannot be read after %d of %d events: %v", events, followUpEvents, a.err)
	}
	if !overlap {
		if _, err := io.WriteString(c, secondHead); err != nil {
			return err.Error()
		}
		s.rec.line("client: channel %d: sent the head of %s (order, Expect: 100-continue)", number, second)
		time.Sleep(50 * time.Millisecond)
		_, err := io.WriteString(c, order)
		sent <- err
	}
	if err := <-sent; err != nil {
		return err.Error()
	}
	a = readAnswer(reader)
	s.rec.line("client: channel %d: answer to %s: status %d, id %s, %q, error %v", number, second, a.status, a.id, a.body, a.err)
	if a.err != nil || a.status != http.StatusOK || a.id != second {
		return fmt.Sprintf("answer to the second request: status %d, id %q, %v", a.status, a.id, a.err)
	}
	return ""
}
