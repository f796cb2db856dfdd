package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The traffic of the case in which a relay and all members are killed at the same moment.
const (
	takeUpStreams   = 24
	takeUpEvents    = 120
	takeUpPause     = 50 * time.Millisecond
	killedAfter     = 1500 * time.Millisecond // from the begin of the streams
	memberDownTime  = 500 * time.Millisecond
	retryPause      = 2 * time.Second
	takeUpTries     = 5
	newStreamsPause = 250 * time.Millisecond
	newStreams      = 16
	minTakeUps      = 12
)

// takeUpCase counts the streams that were taken up at the surviving relay while it was in touch.
type takeUpCase struct {
	site *site

	mu              sync.Mutex
	inTouchAt       time.Time
	takenUp, goOn   int // streams
	begun, notBegun int // new ones
	mixed           int
}

// client reads one stream at the first relay, and takes it up at the second one when it breaks off.
func (c *takeUpCase) client(number int) {
	st := stream{number: number, events: takeUpEvents}
	takenUp, goesOn := false, false
	for try := 0; try < takeUpTries && !st.complete; try++ {
		result := st.try(c.site, min(try, 1))
		if c.isInTouch(result) {
			takenUp, goesOn = true, goesOn || result.gained > 0
		}
		switch {
		case st.complete:
		case try == 0:
			time.Sleep(defaultRetryPause)
		default:
			time.Sleep(max(result.retryAfter, retryPause))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(st.versions) > 1 {
		c.mixed++
	}
	if takenUp {
		c.takenUp++
	}
	if goesOn {
		c.goOn++
	}
}

// isInTouch reports whether a try took a stream up at a relay in touch.
func (c *takeUpCase) isInTouch(result tryResult) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return result.takesUp && !c.inTouchAt.IsZero() && !result.sentAt.Before(c.inTouchAt)
}

// beginStreams begins new streams at the second relay, for the comparison.
func (c *takeUpCase) beginStreams() {
	var clients sync.WaitGroup
	for i := range newStreams {
		clients.Go(func() {
			st := stream{number: 1000 + i, events: takeUpEvents}
			result := st.try(c.site, 1)
			c.mu.Lock()
			defer c.mu.Unlock()
			if result.gained > 0 {
				c.begun++
			} else {
				c.notBegun++
			}
		})
		time.Sleep(newStreamsPause)
	}
	clients.Wait()
}

// playTakeUps kills a relay with its streams; with trouble, all members at the same moment.
func playTakeUps(s *site, trouble bool) ([]string, error) {
	c := &takeUpCase{site: s}
	if err := s.startGroup(baseManifest(1)); err != nil {
		return nil, err
	}
	first, err := s.startRelay(0)
	if err != nil {
		return nil, err
	}
	if _, err := s.startRelay(1); err != nil {
		return nil, err
	}
	for i := range 4 { // two servers of each version
		version := formerVersion
		if i >= 2 {
			version = newVersion
		}
		if _, err := s.startModelServer(i, version, 0, takeUpEvents, takeUpPause); err != nil {
			return nil, err
		}
	}
	for i := range 2 {
		if err := s.awaitReady(i); err != nil {
			return nil, err
		}
	}
	time.Sleep(contactTime)
	var clients sync.WaitGroup
	for i := range takeUpStreams {
		clients.Go(func() { c.client(i) })
	}
	time.Sleep(killedAfter)
	killedAt := time.Now()
	if err := c.kill(first, trouble); err != nil {
		return nil, err
	}
	// The surviving relay is in touch contactMs after the last event at the core; without one it always is.
	c.mu.Lock()
	c.inTouchAt = killedAt
	if trouble {
		c.inTouchAt = time.Now().Add(contactTime + 200*time.Millisecond)
	}
	c.mu.Unlock()
	s.rec.line("platform: front-2 is in touch from %.3f on", time.Until(c.inTouchAt).Seconds()+time.Since(s.rec.began).Seconds())
	time.Sleep(time.Until(c.inTouchAt))
	c.beginStreams()
	clients.Wait()
	return c.verdict()
}

// kill kills the relay and, with trouble, all members at the same moment. These are back within a second.
func (c *takeUpCase) kill(relay *process, members bool) error {
	s := c.site
	if err := s.signal(relay, syscall.SIGKILL); err != nil {
		return err
	}
	if members {
		for _, m := range s.members {
			if err := s.signal(m, syscall.SIGKILL); err != nil {
				return err
			}
		}
	}
	time.Sleep(memberDownTime)
	if members {
		for i := range s.members {
			m, err := s.startMember(i, false)
			if err != nil {
				return err
			}
			s.members[i] = m
		}
	}
	_, err := s.startRelay(0)
	return err
}

func (c *takeUpCase) verdict() ([]string, error) {
	counts := fmt.Sprintf("%d streams were taken up at front-2 in touch, %d of them went on; %d of %d new streams began", c.takenUp, c.goOn, c.begun, c.begun+c.notBegun)
	c.site.rec.line("%s; %d streams of two versions", counts, c.mixed)
	fmt.Println(counts)
	if c.takenUp < minTakeUps {
		return nil, nil
	}
	goOn, begun := float64(c.goOn)/float64(c.takenUp), float64(c.begun)/float64(c.begun+c.notBegun)
	if goOn >= begun/2 {
		return nil, nil
	}
	return []string{"LOST: " + counts}, nil
}
