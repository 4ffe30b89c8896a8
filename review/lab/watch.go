package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// configApply is config_apply_ms of the settings.
const configApply = 2 * time.Second

// watchChange sends requests on /avail/ to the nodes after the acknowledgement of a version that
// moves the route away from the old service. It reports whether that service ran a request that
// was sent later than configApply after the acknowledgement.
func (d *deployment) watchChange(nodes []*machine, version int, old string, acked time.Time, watchFor time.Duration) (bool, error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for _, m := range nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Since(acked) < watchFor; i++ {
				a := d.send(m, http.MethodGet, "shop.example", "/avail/1", fmt.Sprintf("%s-%d-%d", m.name, version, i), 800, nil)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	oldInstance := map[string]bool{}
	for _, m := range d.machines {
		oldInstance["i-"+m.name] = m.service == old
	}
	ranBy := map[string]string{}
	for _, e := range d.executionList() {
		ranBy[e.ID] = e.Instance
	}
	late, served, last, lateNodes := 0, 0, time.Duration(0), map[string]bool{}
	for _, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
		age := a.sent.Sub(acked)
		if age > configApply && oldInstance[ranBy[a.id]] {
			node, _, _ := strings.Cut(a.id, "-")
			late, lateNodes[node] = late+1, true
			last = max(last, age)
		}
	}
	d.record.printf("%d requests, %d served; %s ran %d that were sent more than %v after the acknowledgement (the last %d ms after it), at %d of %d nodes that were not disturbed",
		len(answers), served, old, late, configApply, last.Milliseconds(), len(lateNodes), len(nodes))
	if served < len(answers)/2 {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(answers))
	}
	return late > 0, nil
}
