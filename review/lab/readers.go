package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// killedReaders kills the nodes that wait for changes of the configuration, as a loss of power
// of their machines does, and changes the configuration. The nodes that are left must apply the
// change within config_apply_ms.
func killedReaders(rec *record, trouble bool) (bool, error) {
	const (
		machines      = 36
		configApplyMS = 2000
		darkFor       = 3500 * time.Millisecond
		watchFor      = 6 * time.Second
	)
	services := []string{"katalog", "buchung", "kasse"}
	d, err := newDeployment(rec, machines, services, []string{"vie-hall1", "vie-hall2", "noe-hall3", "bgld-hall4"})
	if err != nil {
		return false, err
	}
	defer d.stop()
	d.inProcess = true
	rules := func(service string) []rule { return []rule{{"shop.example", "/avail/", "safe", service}} }
	if err := d.startAll(operatorConfig(7, services, rules("katalog")), func(m *machine) instanceSettings {
		return instanceSettings{ID: "i-" + m.name, Slots: 9, Work: 5 * time.Millisecond}
	}); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	var killed, left []*machine
	for _, m := range d.machines {
		if time.Since(time.Unix(0, m.lastRead.Load())) < 6*time.Second {
			killed = append(killed, m)
			continue
		}
		left = append(left, m)
	}
	rec.printf("%d nodes wait for changes at the store: %v", len(killed), names(killed))
	if !trouble {
		killed = nil
	}
	for _, m := range killed {
		m.node.kill()
	}
	rec.printf("killed %v", names(killed))
	time.Sleep(200 * time.Millisecond)
	d.store.putConfig(operatorConfig(9, services, rules("buchung")))
	acked := time.Now()
	rec.printf("the store acknowledged version 9, which moves /avail/ to buchung")
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for _, m := range left {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Since(acked) < watchFor; i++ {
				a := d.send(m, http.MethodGet, "shop.example", "/avail/1", fmt.Sprintf("%s-%d", m.name, i), 800, nil)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Until(acked.Add(darkFor)))
	for _, m := range killed {
		if err := d.startNode(m); err != nil {
			return false, err
		}
	}
	wg.Wait()
	old := map[string]bool{}
	for _, m := range d.machines {
		old["i-"+m.name] = m.service == "katalog"
	}
	late, nodes, last := 0, map[string]bool{}, time.Duration(0)
	ranBy := map[string]string{}
	for _, e := range d.executionList() {
		ranBy[e.ID] = e.Instance
	}
	for _, a := range answers {
		age := a.sent.Sub(acked)
		if age > configApplyMS*time.Millisecond && old[ranBy[a.id]] {
			late++
			nodes[a.id[:slices.Index([]byte(a.id), '-')]] = true
			last = max(last, age)
		}
	}
	rec.printf("%d requests, of which katalog ran %d that were sent more than %d ms after the acknowledgement (the last %d ms after it), at %d of %d nodes that were not disturbed",
		len(answers), late, configApplyMS, last.Milliseconds(), len(nodes), len(left))
	return late > 0, nil
}

func names(machines []*machine) []string {
	var list []string
	for _, m := range machines {
		list = append(list, m.name)
	}
	return list
}
