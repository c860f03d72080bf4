package main

import (
	"errors"
	"math/rand"
	"sync"
	"time"
)

// memory crashes the model replicas of two zones one after the other, while one of them sends second copies of some answers late.
func memory(d *deployment) (broken bool, err error) {
	const (
		key     = "xd9dnn2ctnfzs989anu6"
		clients = 36
		length  = 88 * time.Second
		calm    = 4 * time.Second         // before two zones crash one after the other
		apart   = 2400 * time.Millisecond // from one of these crashes to the next
		down    = 1200 * time.Millisecond // for so long
		spoiled = 0.03                    // of the answers of the faulty replica
	)
	if err := d.startStore(); err != nil {
		return false, err
	}
	all, engines := map[string]*engine{}, []*engine{}
	for i, zone := range zones[:3] {
		e := &engine{id: "m-" + zone, zone: zone, store: d.store, record: d.record, all: all, random: rand.New(rand.NewSource(int64(i)))}
		if d.trouble && i == 0 {
			e.spoiled = spoiled
		}
		if err := e.start(); err != nil {
			return false, err
		}
		all[e.address] = e
		engines = append(engines, e)
	}
	d.configure(map[string][]string{"huka270": {key}})
	if err := d.startRouters(2); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	end := time.Now().Add(length)
	group.Go(func() {
		for n := 0; d.trouble; n++ {
			time.Sleep(calm)
			if time.Now().Add(2 * calm).After(end) {
				return
			}
			for _, e := range []*engine{engines[1+n%2], engines[0]} { // the faulty one comes second
				e.crash()
				time.Sleep(down)
				if err := e.start(); err != nil {
					d.record.line("%s doesn't start again: %v", e.id, err)
				}
				time.Sleep(apart - down)
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
