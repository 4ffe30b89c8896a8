package main

import (
	"time"
)

// killedReaders kills the nodes that wait for changes of the configuration, as a loss of power
// of their machines does, and changes the configuration. The nodes that are left must apply the
// change within config_apply_ms.
func killedReaders(rec *record, trouble bool) (bool, error) {
	const (
		machines = 36
		darkFor  = 3500 * time.Millisecond
		watchFor = 6 * time.Second
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
	restarted := make(chan error, 1)
	go func() {
		time.Sleep(time.Until(acked.Add(darkFor)))
		for _, m := range killed {
			if err := d.startNode(m); err != nil {
				restarted <- err
				return
			}
		}
		restarted <- nil
	}()
	broken, err := d.watchChange(left, 9, "katalog", acked, watchFor)
	if err := <-restarted; err != nil {
		return false, err
	}
	return broken, err
}

func names(machines []*machine) []string {
	var list []string
	for _, m := range machines {
		list = append(list, m.name)
	}
	return list
}
