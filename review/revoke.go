package main

import (
	"errors"
	"time"
)

// revoke takes the only tenant's keys away, and sends requests with a key of before and with one that never was in a configuration.
func revoke(d *deployment) (broken bool, err error) {
	const held, other, never = "xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8", "never0held0by0anyone"
	if err := d.startStore(); err != nil {
		return false, err
	}
	for _, zone := range zones {
		if err := d.startReplica(&replica{id: "i-" + zone, service: "cover-desk", zone: zone, slots: 6, queue: 24, work: 20 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	d.configure(map[string][]string{"huka270": {held, other}})
	if err := d.startRouters(3); err != nil {
		return false, err
	}
	holder, stranger := newClient(host, held, d.record), newClient(host, never, d.record)
	if _, status, _ := holder.send(d.routers[0].front, "POST", "/pule252/1", "cover", 1500*time.Millisecond); status != 200 {
		return false, errors.New("a request with a key isn't served")
	}
	if d.trouble {
		d.configure(map[string][]string{"huka270": {other}})
		time.Sleep(100 * time.Millisecond)
		d.configure(map[string][]string{"huka270": {}})
	}
	time.Sleep(5 * time.Second) // over configApplyMs and revokeMs
	wrong := 0
	for range 10 {
		for _, r := range d.routers {
			id, status, _ := holder.send(r.front, "POST", "/pule252/2", "cover", 1500*time.Millisecond)
			if d.trouble && len(d.record.runsOf(id)) > 0 {
				d.record.line("CONFIG: %s has run, though its key was taken away over 2 s before", id)
				wrong++
			}
			if !d.trouble && status != 200 {
				return false, errors.New("a request with a key isn't served")
			}
			if id, _, _ := stranger.send(r.front, "POST", "/pule252/3", "cover", 1500*time.Millisecond); len(d.record.runsOf(id)) > 0 {
				d.record.line("ROUTE: %s has run, though no configuration ever held its key", id)
				wrong++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.record.line("%d requests have run that may not", wrong)
	return wrong > 0, nil
}
