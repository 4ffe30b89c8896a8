package plan

import (
	"fmt"

	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// diffIntents lists the differences between two intents in a fixed order: services,
// ranks, probing, network.
func diffIntents(current, proposed *intent.Intent) []string {
	list := []string{}
	list = append(list, diffItems("service", current.Services, proposed.Services,
		func(s intent.Service) string { return s.Name }, describeService)...)
	list = append(list, diffItems("rank", current.Ranks, proposed.Ranks,
		func(r intent.Rank) string { return r.Name }, describeRank)...)
	if current.Probing != proposed.Probing {
		list = append(list, fmt.Sprintf("probing: %s, was %s", describeProbing(proposed.Probing), describeProbing(current.Probing)))
	}
	if current.Network != proposed.Network {
		list = append(list, fmt.Sprintf("network: %s, was %s", describeNetwork(proposed.Network), describeNetwork(current.Network)))
	}
	return list
}

// diffItems lists new and changed items in the order of the proposed intent, then
// removed items in the order of the current one.
func diffItems[T comparable](kind string, current, proposed []T, name func(T) string, describe func(T) string) []string {
	currentByName := map[string]T{}
	for _, item := range current {
		currentByName[name(item)] = item
	}
	var list []string
	inProposed := map[string]bool{}
	for _, item := range proposed {
		n := name(item)
		inProposed[n] = true
		old, exists := currentByName[n]
		if !exists {
			list = append(list, fmt.Sprintf("%s %s: new, %s", kind, n, describe(item)))
		} else if old != item {
			list = append(list, fmt.Sprintf("%s %s: %s, was %s", kind, n, describe(item), describe(old)))
		}
	}
	for _, item := range current {
		if !inProposed[name(item)] {
			list = append(list, fmt.Sprintf("%s %s: removed", kind, name(item)))
		}
	}
	return list
}

func describeService(s intent.Service) string {
	return fmt.Sprintf("require_token %t, max_body_bytes %d", s.RequireToken, s.MaxBodyBytes)
}

func describeRank(r intent.Rank) string {
	return fmt.Sprintf("target %d ms, worth %g, reserve %g%%, urgent %t", r.TargetMs, r.Worth, r.ReservePercent, r.Urgent)
}

func describeProbing(p intent.Probing) string {
	return fmt.Sprintf("%g probes/s for %d nodes", p.FleetProbesPerSecond, p.MaxNodes)
}

func describeNetwork(n intent.Network) string {
	return fmt.Sprintf("caller %g ms, domain %g ms", n.CallerOneWayMs, n.DomainOneWayMs)
}
