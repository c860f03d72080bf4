package main

import (
	"errors"
	"math/rand"
	"sync"
	"time"
)

// memory crashes the model replicas of one zone after the other, while replicas send second copies of some answers late.
func memory(d *deployment) (broken bool, err error) {
	const (
		key     = "xd9dnn2ctnfzs989anu6"
		perZone = 3
		clients = 170
		length  = 86 * time.Second
		every   = 4 * time.Second         // a zone crashes
		down    = 1200 * time.Millisecond // for so long
		spoiled = 0.03                    // of the answers of a faulty replica
	)
	if err := d.startStore(); err != nil {
		return false, err
	}
	all, byZone := map[string]*engine{}, map[string][]*engine{}
	for z, zone := range zones {
		for i := range perZone {
			e := &engine{id: "m-" + zone + "-" + string(rune('1'+i)), zone: zone, store: d.store, record: d.record, all: all, random: rand.New(rand.NewSource(int64(perZone*z + i)))}
			if n := perZone*z + i; d.trouble && (n%2 == 0 || n == 11) { // 7 of 12
				e.spoiled = spoiled
			}
			if err := e.start(); err != nil {
				return false, err
			}
			all[e.address] = e
			byZone[zone] = append(byZone[zone], e)
		}
	}
	d.configure(map[string][]string{"huka270": {key}})
	if err := d.startRouters(2); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	end := time.Now().Add(length)
	group.Go(func() {
		for n := 0; d.trouble; n++ {
			time.Sleep(every)
			if time.Now().Add(every).After(end) {
				return
			}
			zone := zones[n%len(zones)]
			for _, e := range byZone[zone] {
				e.crash()
			}
			time.Sleep(down)
			for _, e := range byZone[zone] {
				if err := e.start(); err != nil {
					d.record.line("%s doesn't start again: %v", e.id, err)
				}
			}
		}
	})
	var mu sync.Mutex
	whole := 0
	for i := range clients {
		group.Go(func() {
			c, random := newClient(host, key, d.record), rand.New(rand.NewSource(int64(i)))
			for time.Now().Before(end) {
				time.Sleep(time.Duration(random.Int63n(int64(time.Second))))
				id, status, answer := c.stream(d.routers[i%len(d.routers)].front, "/lohu930/2f", 25*time.Second)
				if status == 200 && isWhole(id, answer) {
					mu.Lock()
					whole++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	mixed, resumed := 0, 0
	for _, e := range all {
		d.record.line("%s gave %d answers and a second copy of %d", e.id, e.answers, e.copied)
		mixed += e.mixed
		resumed += e.resumed
	}
	d.record.line("%d streams were served whole, %d went on from a copy, %d of these from the memory of another request", whole, resumed, mixed)
	if whole < 50 {
		return false, errors.New("hardly any stream is served")
	}
	return mixed > 0, nil
}
