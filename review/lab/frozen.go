package main

import (
	"fmt"
	"syscall"
	"time"
)

// frozenSource changes the configuration three times. Each time it freezes one node that has just
// read the change from the store. All other nodes must apply it within config_apply_ms.
func frozenSource(rec *record, trouble bool) (bool, error) {
	const (
		machines  = 36
		routes    = 1200
		rounds    = 3
		frozenFor = 4 * time.Second
		pause     = 5 * time.Second
		// freezeAfter is the time from the acknowledgement to the freeze.
		freezeAfter = 30 * time.Millisecond
	)
	services := []string{"katalog", "buchung", "kasse"}
	d, err := newDeployment(rec, machines, services, []string{"vie-hall1", "vie-hall2", "noe-hall3", "bgld-hall4"})
	if err != nil {
		return false, err
	}
	defer d.stop()
	d.inProcess = true
	rules := func(service string) []rule {
		list := []rule{{"shop.example", "/avail/", "safe", service}}
		for i := range routes {
			list = append(list, rule{fmt.Sprintf("h%d.example", i), "/more/", "safe", "kasse"})
		}
		return list
	}
	if err := d.startAll(operatorConfig(7, services, rules("katalog")), func(m *machine) instanceSettings {
		return instanceSettings{ID: "i-" + m.name, Slots: 9, Work: 5 * time.Millisecond}
	}); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	broken := false
	old, next := "katalog", "buchung"
	for version := 9; version < 9+2*rounds; version += 2 {
		reader := d.lastReader()
		d.store.putConfig(operatorConfig(version, services, rules(next)))
		acked := time.Now()
		rec.printf("the store acknowledged version %d, which moves /avail/ to %s", version, next)
		var left []*machine
		for _, m := range d.machines {
			if m != reader || !trouble {
				left = append(left, m)
			}
		}
		if trouble {
			time.Sleep(time.Until(acked.Add(freezeAfter)))
			reader.node.signal(syscall.SIGSTOP)
			rec.printf("%s, the node that last read the store, is frozen %v after the acknowledgement", reader.name, freezeAfter)
			time.AfterFunc(frozenFor, func() { reader.node.signal(syscall.SIGCONT) })
		}
		late, err := d.watchChange(left, version, old, acked, frozenFor)
		if err != nil {
			return false, err
		}
		broken = broken || late
		old, next = next, old
		time.Sleep(pause)
	}
	return broken, nil
}

// lastReader returns the machine whose node was the last to begin a read of the store.
func (d *deployment) lastReader() *machine {
	last := d.machines[0]
	for _, m := range d.machines {
		if m.lastRead.Load() > last.lastRead.Load() {
			last = m
		}
	}
	return last
}
