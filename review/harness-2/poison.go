package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// poison lets a request come again and again that crashes each instance which begins to run it, while the
// nodes are stopped and started in turn.
func poison(f *fleet, trouble bool) (bool, error) {
	const path, n, rounds = "/read/poison", 6, 3
	rules := []map[string]any{rule("r-read", "safe", "/read/", service, false), rule("r-order", "unsafe", "/order/", service, false)}
	if err := f.machinesWith(n, configuration(3, nil, rules...)); err != nil {
		return false, err
	}
	for _, m := range f.machines {
		m.instance.poison, m.instance.work = path, 160*time.Millisecond
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	every := func(d time.Duration, send func(m *machine)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(d):
				}
				if m := f.machines[i%n]; m.inTouch() {
					send(m)
				}
			}
		}()
	}
	every(250*time.Millisecond, func(m *machine) { m.request("GET", path, "") })
	var orders atomic.Int64
	var mu sync.Mutex
	var unknown []answer
	for range 4 {
		every(40*time.Millisecond, func(m *machine) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := m.request("POST", fmt.Sprintf("/order/%d", orders.Add(1)), "")
				if a.status == http.StatusBadGateway {
					mu.Lock()
					unknown = append(unknown, a)
					mu.Unlock()
				}
			}()
		})
	}
	for end := time.Now().Add(20 * time.Second); len(f.crashes()) == 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return false, fmt.Errorf("%w: the request has not crashed an instance", errSetup)
		}
	}
	time.Sleep(8 * time.Second)
	f.note("%d crashes before the nodes are restarted", len(f.crashes()))
	for range rounds {
		for _, m := range f.machines {
			if trouble {
				if err := m.restart(); err != nil {
					return false, err
				}
			}
			time.Sleep(time.Second)
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	wg.Wait()
	crashes := f.crashes()
	if len(crashes) < 3 {
		f.note("%d crashes in all", len(crashes))
		return false, nil
	}
	third, later := crashes[2], 0
	for _, e := range f.runs() {
		if e.path == path && e.at.Sub(third) > stableWindow {
			later++
		}
	}
	lost := 0
	for _, a := range unknown {
		if a.sentAt.Sub(third) > stableWindow {
			lost++
		}
	}
	f.note("%d orders that were sent in that time got 502", lost)
	f.note("%d times an instance got the request later than %v after it had crashed the third, %d crashes in all", later, stableWindow, len(crashes))
	return later > 3, nil
}

// crashes returns the times of all crashes of instances, in order.
func (f *fleet) crashes() []time.Time {
	var all []time.Time
	for _, m := range f.machines {
		m.instance.mu.Lock()
		all = append(all, m.instance.crashes...)
		m.instance.mu.Unlock()
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}
