package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// truncatedAnswer sends requests with long bodies to instances that answer them without a
// length before they have read the bodies, and kills one of seven instances in the middle of its
// answers. Its connections are then reset. No client may get a success with a part of the
// answer.
func truncatedAnswer(rec *record, trouble bool) (bool, error) {
	services := []string{"katalog", "buchung"}
	d, err := newDeployment(rec, 8, services, []string{"vie-hall1", "vie-hall2"})
	if err != nil {
		return false, err
	}
	// One instance of katalog and seven of buchung.
	for _, m := range d.machines[1:] {
		m.service = "buchung"
	}
	defer d.stop()
	config := operatorConfig(7, services, []rule{{"shop.example", "/reserve/", "unsafe", "buchung"}, {"shop.example", "/avail/", "safe", "katalog"}})
	if err := d.startAll(config, func(m *machine) instanceSettings {
		return instanceSettings{ID: "i-" + m.name, Slots: 9, Work: 900 * time.Millisecond, Unframed: true}
	}); err != nil {
		return false, err
	}
	const requests, bodyBytes = 42, 12 << 20
	body := bytes.Repeat([]byte("x"), bodyBytes)
	answers := make([]answer, requests)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = d.send(d.machines[i%len(d.machines)], http.MethodPost, "shop.example", "/reserve/1", fmt.Sprintf("a%04d", i), 2500, body)
		}()
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		m := d.machines[1]
		rec.printf("SIGKILL to instance %s of %s", m.instanceSettings.ID, m.service)
		m.instance.kill()
	}
	wg.Wait()
	broken, whole := 0, 0
	for _, a := range answers {
		if a.err != nil || a.status != http.StatusOK {
			continue
		}
		if bytes.Equal(a.body, answerBody(a.id)) {
			whole++
			continue
		}
		broken++
		rec.printf("MIXED: %s got a complete success with %d of %d bytes", a.id, len(a.body), len(answerBody(a.id)))
	}
	rec.printf("%d requests, %d whole answers, %d truncated successes", requests, whole, broken)
	if !trouble && whole < requests/2 {
		return false, fmt.Errorf("only %d of %d requests were answered without trouble", whole, requests)
	}
	return broken > 0, nil
}
