package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// restartAfterClockStep restarts an instance under the id that it had. Its machine's clock was
// ahead at the first start and is right again at the second. The instance then reports that it is
// draining. No request may reach it later than drain_ms after the acknowledgement.
func restartAfterClockStep(rec *record, trouble bool) (bool, error) {
	const (
		clockStep = 2400 * time.Millisecond
		drainFor  = 2 * time.Second
		servesFor = 8 * time.Second
	)
	services := []string{"katalog", "buchung", "kasse"}
	d, err := newDeployment(rec, 12, services, []string{"vie-hall1", "vie-hall2", "noe-hall3", "bgld-hall4"})
	if err != nil {
		return false, err
	}
	defer d.stop()
	d.inProcess = true
	rules := []rule{{"shop.example", "/reserve/", "unsafe", "buchung"}, {"shop.example", "/avail/", "safe", "katalog"}}
	leaver := d.machines[1]
	settings := func(m *machine) instanceSettings {
		return instanceSettings{ID: "i-" + m.name, Slots: 9, Work: 20 * time.Millisecond, OwnProcess: m == leaver}
	}
	if err := d.startAll(operatorConfig(7, services, rules), settings); err != nil {
		return false, err
	}
	// The instance starts anew, about a second before it crashes.
	leaver.instance.kill()
	time.Sleep(time.Second)
	first := settings(leaver)
	first.Born = time.Now().UnixMilli()
	if trouble {
		first.Born += clockStep.Milliseconds()
	}
	if err := d.startInstance(leaver, first); err != nil {
		return false, err
	}
	rec.printf("%s starts, born %d", first.ID, first.Born)
	time.Sleep(500 * time.Millisecond)
	leaver.instance.kill()
	rec.printf("%s crashes", first.ID)
	time.Sleep(500 * time.Millisecond)
	second := settings(leaver)
	second.Service, second.Zone, second.Address, second.Control = leaver.service, leaver.zone, leaver.instanceAddress(), leaver.controlAddress()
	in := newInstance(second, executionWriter{d})
	l, err := net.Listen("tcp", second.Address)
	if err != nil {
		return false, err
	}
	go in.serve(l)
	rec.printf("%s starts, born %d", second.ID, in.Born)
	time.Sleep(5 * time.Second)

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
	time.Sleep(2 * time.Second)
	in.leaving.Store(true)
	if !in.heartbeat("draining") {
		return false, fmt.Errorf("the heartbeat was not acknowledged")
	}
	acked := time.Now()
	rec.printf("%s reports that it is draining, which is acknowledged; it serves for %v more", in.ID, servesFor)
	time.Sleep(servesFor)
	close(stop)
	wg.Wait()
	before, after := 0, 0
	for _, e := range d.executionList() {
		switch {
		case e.Instance != in.ID:
		case e.At.After(acked.Add(drainFor)):
			after++
		case e.At.Before(acked):
			before++
		}
	}
	rec.printf("%s ran %d requests before the acknowledgement and %d later than drain_ms after it", in.ID, before, after)
	if before == 0 {
		return false, fmt.Errorf("the instance ran no request")
	}
	return after > 0, nil
}
