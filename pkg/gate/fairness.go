package gate

import "slices"

// assignTurns numbers the requests of each organisation in the queue, which is sorted by group,
// rank and target time, within their group and rank. Requests that run count first. If requests are
// then ordered by turn, an organisation with many requests waits for those with few. It reports
// whether any request has an organisation.
//
// Load pattern: an organisation sends 7.5 times its usual load and its limit for the fleet leaves
// it more than its share of one upstream. The others must be served as before.
func (g *Gate) assignTurns() bool {
	if !slices.ContainsFunc(g.queue, func(r *Request) bool { return r.Organisation != "" }) {
		return false
	}
	running := map[string]int{}
	for _, r := range g.running {
		running[r.Organisation]++
	}
	type turns struct {
		group, rank  int
		organisation string
	}
	queued := map[turns]int{}
	for _, r := range g.queue {
		r.turn = 0
		if r.Organisation == "" {
			continue
		}
		key := turns{r.group, r.Rank, r.Organisation}
		r.turn = running[r.Organisation] + queued[key]
		queued[key]++
	}
	return true
}
