package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// silence makes the routers' connections to the store go silent while configurations come in quick succession, one of which moves a
// route to another service.
func silence(d *deployment) (broken bool, err error) {
	const (
		key     = "xd9dnn2ctnfzs989anu6"
		gap     = 330 * time.Millisecond // between two versions
		contact = 3 * time.Second        // contactMs
		apply   = 2 * time.Second        // configApplyMs
		slack   = 20 * time.Millisecond  // for the clocks of this program
		rounds  = 4
	)
	tenants := map[string][]string{"huka270": {key}}
	if err := d.startStore(); err != nil {
		return false, err
	}
	for _, service := range []string{"cover-desk", "claims-desk"} {
		for _, zone := range zones {
			if err := d.startReplica(&replica{id: "i-" + service + "-" + zone, service: service, zone: zone, slots: 6, queue: 24, work: 5 * time.Millisecond}); err != nil {
				return false, err
			}
		}
	}
	d.configure(tenants)
	var proxies []*proxy
	for range 3 {
		p, err := newProxy(&background, d.store.address)
		if err != nil {
			return false, err
		}
		proxies = append(proxies, p)
	}
	if err := d.startRoutersAt([]string{proxies[0].address, proxies[1].address, proxies[2].address}); err != nil {
		return false, err
	}
	wrong, services := 0, []string{"cover-desk", "claims-desk"}
	for round := range rounds {
		time.Sleep(6 * time.Second) // the routers are in touch, and nothing changes
		from, to := services[round%2], services[(round+1)%2]
		for range 4 { // of the storm, before the connections go silent
			d.configure(tenants)
			time.Sleep(gap)
		}
		d.configure(tenants)
		time.Sleep(20 * time.Millisecond)
		silentAt := time.Now()
		if d.trouble {
			n := 0
			for _, p := range proxies {
				n += p.silence()
			}
			d.record.line("%d connections to the store go silent", n)
		}
		time.Sleep(gap - 20*time.Millisecond)
		d.service = to
		d.configure(tenants)
		movedAt := time.Now()
		for range 3 { // the rest of the storm
			time.Sleep(gap)
			d.configure(tenants)
		}
		time.Sleep(time.Until(silentAt.Add(contact - 100*time.Millisecond)))
		var group sync.WaitGroup
		var mu sync.Mutex
		right := 0
		for _, r := range d.routers {
			group.Go(func() {
				c := newClient(host, key, d.record)
				for n := 0; time.Since(silentAt) < contact+1500*time.Millisecond; n++ {
					sentAt := time.Now()
					id, _, _ := c.send(r.front, "POST", fmt.Sprintf("/pule252/%d", n), "cover", 1500*time.Millisecond)
					for _, at := range d.record.runsOf(id) {
						mu.Lock()
						switch {
						case at.service != from:
							right++
						case sentAt.Sub(silentAt) > contact+slack && sentAt.Sub(movedAt) > apply+slack:
							wrong++
							d.record.line("CONFIG: %s was sent %v after the version that moves its route to %s and %v after the silence began, and has run at %s",
								id, sentAt.Sub(movedAt).Round(time.Millisecond), to, sentAt.Sub(silentAt).Round(time.Millisecond), at.replica)
						}
						mu.Unlock()
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
		group.Wait()
		if right == 0 {
			return false, errors.New("no request has run at the new service")
		}
	}
	d.record.line("%d requests were handled as only an older version allows", wrong)
	return wrong > 0, nil
}
