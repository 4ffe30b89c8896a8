package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// tally counts the requests of one kind.
type tally struct{ sent, served, refused int }

func (t tally) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

// awaitReads returns an instance that runs n reads at this moment, or any after a while.
func (f *fleet) awaitReads(n int64) *instance {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, m := range f.machines {
			if m.instance.reads.Load() >= n {
				return m.instance
			}
		}
	}
	return f.machines[0].instance
}

// popularRead lets one instance crash once while many clients read the same path, on a route that was added later, and
// others send orders that all differ, on the first route.
func popularRead(f *fleet, trouble bool) (bool, error) {
	const n, settle, steady = 4, 5 * time.Second, 20 * time.Second
	first, added := rule("r-order", "unsafe", "/order/", service, false), rule("r-read", "safe", "/read/", service, false)
	if err := f.machinesWith(n, configuration(3, nil, first)); err != nil {
		return false, err
	}
	if _, err := f.publish(configuration(7, nil, first, added)); err != nil {
		return false, err
	}
	time.Sleep(2 * configApply)
	stop := make(chan struct{})
	var mu sync.Mutex
	var answers []kindAnswer
	var wg sync.WaitGroup
	// every sends requests of the kind to the machine at the rate.
	every := func(m *machine, kind string, perSecond int, send func(i int) answer) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			t := time.NewTicker(time.Second / time.Duration(perSecond))
			defer t.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-t.C:
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					a := send(i)
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, kindAnswer{a, kind})
				}()
			}
		}()
	}
	for _, m := range f.machines {
		m.instance.work = 160 * time.Millisecond
		every(m, "added route", 18, func(int) answer { return m.request("GET", "/read/saturday", "") })
		every(m, "first route", 18, func(i int) answer { return m.request("POST", fmt.Sprintf("/order/%s-%d", m.name, i), "") })
	}
	time.Sleep(3 * time.Second)
	if trouble {
		// It returns when the instance is back.
		f.awaitReads(4).crash()
	}
	time.Sleep(settle)
	began := time.Now()
	f.note("steady state")
	time.Sleep(steady)
	close(stop)
	wg.Wait()
	kinds := map[string]*tally{"added route": {}, "first route": {}}
	for _, a := range answers {
		if a.sentAt.Before(began) {
			continue
		}
		k := kinds[a.kind]
		k.sent++
		switch a.status {
		case http.StatusOK:
			k.served++
		case http.StatusServiceUnavailable:
			k.refused++
		}
	}
	for name, k := range kinds {
		f.note("%s in steady state: %d sent, %d served, %d refused with 503", name, k.sent, k.served, k.refused)
	}
	return kinds["added route"].share() < kinds["first route"].share()/4, nil
}

// kindAnswer is an answer to a request of a kind.
type kindAnswer struct {
	answer
	kind string
}
