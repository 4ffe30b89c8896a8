package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// coldPerSecond is cold_per_s of the configuration, and coldTime its cold_start_s.
	coldPerSecond = 12
	coldTime      = 3 * time.Second
	// coldBound is the bound of the rule: cold_per_s x cold_overage + cold_slack.
	coldBound = coldPerSecond*1.5 + 8
	// coldCrash is the number of requests in one second beyond which a cold instance crashes.
	coldCrash = 3 * coldPerSecond
)

// coldAgain lets the instances of one zone become cold while requests come at a steady rate. An instance that gets
// more than three times the cold rate in one second while it is cold crashes.
func coldAgain(f *fleet, trouble bool) (bool, error) {
	const n, events, perSecond = 4, 10, 90
	c := configuration(3, nil, rule("r-order", "unsafe", "/order/", service, false))
	cluster := c["clusters"].([]any)[0].(map[string]any)
	cluster["cold_start_s"], cluster["cold_per_s"] = coldTime.Seconds(), coldPerSecond
	// Machines start within 0.3 s of each other.
	f.startGap = 100 * time.Millisecond
	if err := f.machinesWith(n, c); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	sent, lost := map[string]time.Time{}, 0
	var wg sync.WaitGroup
	for _, m := range f.machines {
		m.instance.work, m.instance.coldLimit = 60*time.Millisecond, coldCrash
		wg.Add(1)
		go func() {
			defer wg.Done()
			t := time.NewTicker(time.Second / perSecond)
			defer t.Stop()
			for {
				select {
				case <-stop:
					return
				case <-t.C:
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					a := m.request("POST", "/order/1", "")
					mu.Lock()
					sent[a.id] = a.sentAt
					if a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
						lost++
					}
					mu.Unlock()
				}()
			}
		}()
	}
	time.Sleep(6 * time.Second)
	var began []time.Time
	for range events {
		time.Sleep(4*time.Second + rand.N(time.Second))
		now := time.Now()
		began = append(began, now)
		for _, m := range f.machines {
			if trouble && m.zone == "z0" {
				m.instance.mu.Lock()
				m.instance.coldUntil = now.Add(coldTime)
				m.instance.mu.Unlock()
				f.note("instance %s is cold for %v", m.instance.currentID(), coldTime)
			}
		}
		time.Sleep(coldTime)
	}
	close(stop)
	wg.Wait()
	worst := 0
	for _, m := range f.machines {
		if m.zone != "z0" || !trouble {
			continue
		}
		most := 0
		runs := m.instance.ran()
		for _, start := range began {
			most = max(most, mostInOneSecond(runs, sent, start))
		}
		f.note("instance %s got up to %d requests in one second while it was cold, bound %.0f", m.instance.currentID(), most, coldBound)
		worst = max(worst, most)
	}
	f.note("%d of %d orders got neither the answer of an instance nor the word that they had not run", lost, len(sent))
	return float64(worst) > coldBound, nil
}

// mostInOneSecond returns the largest number of requests that were sent and ran inside one second of the cold
// time from the start on.
func mostInOneSecond(runs []execution, sent map[string]time.Time, start time.Time) int {
	most := 0
	for _, first := range runs {
		if first.at.Before(start) || first.at.After(start.Add(coldTime-time.Second)) {
			continue
		}
		count := 0
		for _, e := range runs {
			if d := e.at.Sub(first.at); d >= 0 && d < time.Second && !sent[e.id].Before(start) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
