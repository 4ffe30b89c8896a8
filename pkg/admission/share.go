// Package admission decides which request an upstream executes next and which
// requests it rejects.
package admission

import (
	"sort"

	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// Shares divides capacity among ranks with the given demand, both in the same
// unit. Each rank first gets its reserve, up to its demand. The rest goes to the
// unmet demand in descending order of worth. The result is in the order of ranks.
func Shares(capacity float64, ranks []intent.Rank, demand []float64) []float64 {
	served := make([]float64, len(ranks))
	remaining := capacity
	for i, r := range ranks {
		served[i] = min(demand[i], capacity*r.ReservePercent/100)
		remaining -= served[i]
	}
	for _, i := range byWorth(ranks) {
		extra := max(0, min(demand[i]-served[i], remaining))
		served[i] += extra
		remaining -= extra
	}
	return served
}

// byWorth returns the indexes of the ranks in descending order of worth.
func byWorth(ranks []intent.Rank) []int {
	order := make([]int, len(ranks))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return ranks[order[a]].Worth > ranks[order[b]].Worth })
	return order
}
