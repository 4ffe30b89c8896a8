package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// departureAfterKill lets an instance leave with a deregistration, kills all nodes at once and
// starts them again. A heartbeat that the instance sent before its deregistration arrives late.
// No request may reach the instance later than drain_ms after the acknowledgement.
func departureAfterKill(rec *record, trouble bool) (bool, error) {
	const (
		drainFor       = 2 * time.Second
		stableWindow   = 3 * time.Second
		heartbeatDelay = 4 * time.Second
		servesFor      = 14 * time.Second
	)
	services := []string{"katalog", "buchung", "kasse"}
	d, err := newDeployment(rec, 12, services, []string{"vie-hall1", "vie-hall2", "noe-hall3", "bgld-hall4"})
	if err != nil {
		return false, err
	}
	defer d.stop()
	d.inProcess = true
	rules := []rule{{"shop.example", "/reserve/", "unsafe", "buchung"}, {"shop.example", "/avail/", "safe", "katalog"}}
	if err := d.startAll(operatorConfig(7, services, rules), func(m *machine) instanceSettings {
		return instanceSettings{ID: "i-" + m.name, Slots: 9, Work: 20 * time.Millisecond}
	}); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var wg sync.WaitGroup
	stop := make(chan struct{})
	for _, m := range d.machines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				d.send(m, http.MethodPost, "shop.example", "/reserve/1", fmt.Sprintf("%s-%d", m.name, i), 1000, []byte("x"))
			}
		}()
	}
	time.Sleep(time.Second)

	leaver := d.machines[1].local
	late := leaver.heartbeatBody("ready")
	rec.printf("instance %s sends heartbeat %v, which arrives %v later", leaver.ID, late["sequence"], heartbeatDelay)
	time.AfterFunc(heartbeatDelay, func() {
		rec.printf("heartbeat %v of %s arrives, acknowledged %t", late["sequence"], leaver.ID, leaver.call("heartbeat", late))
	})
	time.Sleep(200 * time.Millisecond)
	if !leaver.deregister() {
		return false, fmt.Errorf("the deregistration was not acknowledged")
	}
	acked := time.Now()
	rec.printf("the deregistration of %s is acknowledged; it serves for %v more", leaver.ID, servesFor)
	started := acked
	if trouble {
		time.Sleep(500 * time.Millisecond)
		for _, m := range d.machines {
			m.node.kill()
		}
		rec.printf("all nodes are killed")
		time.Sleep(time.Second)
		for _, m := range d.machines {
			if err := d.startNode(m); err != nil {
				return false, err
			}
		}
		started = time.Now()
		rec.printf("all nodes are started")
	}
	time.Sleep(time.Until(acked.Add(servesFor)))
	close(stop)
	wg.Wait()

	inTouch := started.Add(stableWindow)
	if end := acked.Add(drainFor); end.After(inTouch) {
		inTouch = end
	}
	after, served := 0, 0
	for _, e := range d.executionList() {
		if e.At.After(inTouch) {
			served++
			if e.Instance == leaver.ID {
				after++
			}
		}
	}
	rec.printf("%d requests ran later than drain_ms after the acknowledgement at machines in touch, %d of them at the instance that has left", served, after)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return after > 0, nil
}
