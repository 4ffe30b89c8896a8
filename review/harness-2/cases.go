package main

import (
	"fmt"
	"net/http"
	"time"
)

// configApply is config_apply_ms of the settings.
const configApply = 2500 * time.Millisecond

// machinesWith adds n machines in two zones and starts them with the configuration.
func (f *fleet) machinesWith(n int, config map[string]any) error {
	if _, err := f.publish(config); err != nil {
		return err
	}
	for i := range n {
		if _, err := f.addMachine(fmt.Sprint("m", i), service, fmt.Sprint("z", i%2)); err != nil {
			return err
		}
	}
	return f.startAll()
}

// runs returns the executions at all instances.
func (f *fleet) runs() []execution {
	var all []execution
	for _, m := range f.machines {
		all = append(all, m.instance.ran()...)
	}
	return all
}

// liftedLimit publishes a version that lifts the limit of one tenant, takes away a key of another one and adds
// a route. With trouble, the limit is lifted by leaving out rate_per_s only; otherwise burst is left out as well.
func liftedLimit(f *fleet, trouble bool) (bool, error) {
	const oldKey, newKey = "key-old", "key-new"
	tenants := func(first map[string]any, keys ...string) []map[string]any {
		return []map[string]any{first, {"name": "small", "api_keys": keys, "rate_per_s": 50, "burst": 50}}
	}
	rules := []map[string]any{rule("r-order", "unsafe", "/order/", service, false)}
	limited := map[string]any{"name": "big", "api_keys": []string{"key-big"}, "rate_per_s": 50, "burst": 50}
	if err := f.machinesWith(3, configuration(3, tenants(limited, oldKey, newKey), rules...)); err != nil {
		return false, err
	}
	for _, m := range f.machines {
		if a := m.request("POST", "/order/1", oldKey); a.status != http.StatusOK {
			return false, fmt.Errorf("%w: status %d before the change", errSetup, a.status)
		}
	}
	lifted := map[string]any{"name": "big", "api_keys": []string{"key-big"}, "burst": 50}
	if !trouble {
		delete(lifted, "burst")
	}
	rules = append(rules, rule("r-new", "safe", "/new/", service, false))
	acked, err := f.publish(configuration(7, tenants(lifted, newKey), rules...))
	if err != nil {
		return false, err
	}
	// All machines are in touch: nothing else happens.
	time.Sleep(2 * configApply)
	dropped, missing := map[string]bool{}, 0
	for range 10 {
		for _, m := range f.machines {
			a := m.request("POST", "/order/1", oldKey)
			dropped[a.id] = true
			if b := m.request("GET", "/new/1", newKey); b.status == http.StatusNotFound {
				missing++
			}
		}
	}
	ran := 0
	for _, e := range f.runs() {
		if dropped[e.id] {
			ran++
		}
	}
	if err := f.restartAll(newKey); err != nil {
		return false, err
	}
	f.note("sent later than %v after the acknowledgement at %v: %d of 30 orders with a key that was taken away ran; %d of 30 requests on the new route got 404", 2*configApply, acked.Sub(f.start), ran, missing)
	return ran+missing > 0, nil
}

// restartAll kills all nodes at once and starts them again. It records what is served after the time in which a
// deployment has to recover.
func (f *fleet) restartAll(key string) error {
	const recovery = 15 * time.Second
	f.note("all nodes are killed and started again")
	for _, m := range f.machines {
		m.kill()
	}
	for _, m := range f.machines {
		if err := m.startNode(); err != nil {
			return err
		}
	}
	time.Sleep(recovery)
	served := 0
	for range 10 {
		for _, m := range f.machines {
			if m.request("POST", "/order/1", key).status == http.StatusOK {
				served++
			}
		}
	}
	f.note("%d of 30 orders with a valid key are served later than %v after all nodes were started again", served, recovery)
	return nil
}

// capitalHost adds a host to the configuration. With trouble, its name has capitals.
func capitalHost(f *fleet, trouble bool) (bool, error) {
	added := "Shop.Example"
	if !trouble {
		added = "shop2.example"
	}
	if err := f.machinesWith(3, configuration(3, nil, rule("r-read", "safe", "/read/", service, false))); err != nil {
		return false, err
	}
	next := configuration(7, nil, rule("r-read", "safe", "/read/", service, false))
	next["listeners"] = append(next["listeners"].([]any), map[string]any{"host": added, "rules": []any{rule("r-order", "unsafe", "/order/", service, false)}})
	if _, err := f.publish(next); err != nil {
		return false, err
	}
	time.Sleep(2 * configApply)
	missing, served := 0, 0
	for range 10 {
		for _, m := range f.machines {
			switch m.requestTo(added, "POST", "/order/1", "").status {
			case http.StatusNotFound:
				missing++
			case http.StatusOK:
				served++
			}
		}
	}
	f.note("sent later than %v after the acknowledgement: of 30 orders to %s, %d got 404 and %d were served", 2*configApply, added, missing, served)
	return missing > 0, nil
}
