package main

import (
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"time"
)

// copies sends many requests to a service whose replicas are full at times. Two of the four replicas break off some of their
// answers, and send a second copy of some others late.
func copies(d *deployment) (broken bool, err error) {
	const (
		key      = "xd9dnn2ctnfzs989anu6"
		clients  = 170
		length   = 80 * time.Second
		maxThink = 100 * time.Millisecond // of a client, between an answer and its next request
	)
	if err := d.startStore(); err != nil {
		return false, err
	}
	for i, zone := range zones {
		r := &replica{id: "i-" + zone, service: "cover-desk", zone: zone, slots: 6, queue: 24, work: 60 * time.Millisecond}
		if d.trouble && i%2 == 0 {
			r.spoil = spoilSome(int64(i))
		}
		if err := d.startReplica(r); err != nil {
			return false, err
		}
	}
	d.configure(map[string][]string{"huka270": {key}})
	if err := d.startRouters(8); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	unsafe := map[string]int{}
	served := 0
	end := time.Now().Add(length)
	for i := range clients {
		group.Go(func() {
			c := newClient(host, key, d.record)
			at := d.routers[i%len(d.routers)].front
			random := rand.New(rand.NewSource(int64(i)))
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(time.Duration(random.Int63n(int64(maxThink))))
				if n%4 == 3 {
					_, _, wait := c.send(at, "GET", fmt.Sprintf("/puxa403/%d", n), "", 1500*time.Millisecond)
					time.Sleep(wait)
					continue
				}
				id, status, wait := c.send(at, "POST", fmt.Sprintf("/pule252/%d", n), "cover", 1500*time.Millisecond)
				mu.Lock()
				unsafe[id] = status
				if status == 200 {
					served++
				}
				mu.Unlock()
				time.Sleep(wait)
			}
		})
	}
	group.Wait()
	if served < 100 {
		return false, errors.New("hardly any request is served")
	}
	wrong := 0
	for id, status := range unsafe {
		runs := d.record.runsOf(id)
		if len(runs) > 1 {
			d.record.line("TWICE: %s has run %d times, first at %s, last at %s; its answer was %d", id, len(runs), runs[0].replica, runs[len(runs)-1].replica, status)
			wrong++
		}
		if len(runs) > 0 && (status == 503 || status == 429) {
			d.record.line("REFUSED: %s was answered %d and has run", id, status)
			wrong++
		}
	}
	d.record.line("%d unsafe requests, %d served, %d broke a rule", len(unsafe), served, wrong)
	return wrong > 0, nil
}

// maxSpoiled is the largest part of its answers that a faulty replica spoils.
const maxSpoiled = 0.03

// spoilSome breaks off answers to requests at random, and sends a second copy of the answers to health checks.
func spoilSome(seed int64) func(health bool) spoiling {
	random := rand.New(rand.NewSource(seed))
	var mu sync.Mutex
	answers, spoiled := 0, 0
	return func(health bool) spoiling {
		mu.Lock()
		defer mu.Unlock()
		answers++
		switch {
		case float64(spoiled+1) > maxSpoiled*float64(answers):
			return sound
		case health:
			spoiled++
			return secondCopy
		case random.Float64() < maxSpoiled/2:
			spoiled++
			return breakOff
		}
		return sound
	}
}
