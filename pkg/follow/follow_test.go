package follow

import (
	"fmt"
	"testing"
)

// fleet returns nodes of the services, spread over the failure domains.
func fleet(n, services, domains int) []Node {
	var nodes []Node
	for i := range n {
		nodes = append(nodes, Node{
			Address: fmt.Sprintf("10.%d.%d.%d:7600", i%domains, i/200, i%200),
			Domain:  fmt.Sprint("d", i%domains), Service: fmt.Sprint("s", i/domains%services),
		})
	}
	return nodes
}

// The node beside an upstream and the node that follows it agree without a word.
func TestBothSidesAgree(t *testing.T) {
	nodes := fleet(120, 3, 4)
	followed := map[string]map[string]bool{}
	for _, n := range nodes {
		followed[n.Address] = Followed(n, nodes)
	}
	for _, u := range nodes {
		followers := Followers(u, nodes)
		for _, n := range nodes {
			if followed[n.Address][u.Address] != followers[n.Address] {
				t.Fatalf("%s follows %s: %v, the other side says %v", n.Address, u.Address, followed[n.Address][u.Address], followers[n.Address])
			}
		}
	}
}

func TestSmallFleetsFollowAll(t *testing.T) {
	nodes := fleet(12, 3, 4)
	for _, n := range nodes {
		if got := len(Followed(n, nodes)); got != len(nodes)-1 {
			t.Errorf("%s follows %d of %d", n.Address, got, len(nodes)-1)
		}
	}
}

// Guards against bytes that grow with the fleet: at five times the size, no upstream
// has many more followers, and every node still follows enough upstreams of each
// service, some of them in other failure domains.
func TestFollowersAreBounded(t *testing.T) {
	tests := []struct {
		desc                 string
		n, services, domains int
		most                 int
	}{
		// On average perService x nodes / upstreams of the service, plus minFar.
		{"300 nodes, 3 services", 300, 3, 4, 2 * 3 * (perService + minFar)},
		{"1,500 nodes, 15 services", 1500, 15, 4, 2 * 15 * (perService + minFar)},
		{"1,500 nodes, 3 services", 1500, 3, 4, 2 * 3 * (perService + minFar)},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			nodes := fleet(tt.n, tt.services, tt.domains)
			for _, u := range nodes[:20] {
				if got := len(Followers(u, nodes)); got > tt.most {
					t.Errorf("%s has %d followers, want at most %d", u.Address, got, tt.most)
				}
				followed := Followed(u, nodes)
				near, elsewhere := 0, 0
				for _, n := range nodes {
					if !followed[n.Address] || n.Service != "s0" {
						continue
					}
					if n.Domain == u.Domain {
						near++
					} else {
						elsewhere++
					}
				}
				if near+elsewhere < perService-1 || elsewhere < minFar || near+elsewhere > perService+minFar {
					t.Errorf("%s follows %d near and %d far upstreams of a service", u.Address, near, elsewhere)
				}
			}
		})
	}
}
