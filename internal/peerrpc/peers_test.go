package peerrpc

import (
	"testing"

	"sableusher/internal/config"
)

// TestQueriesCombinePeerAnswers asks two nodes: one whose cluster state is not recent must not vouch for machines,
// images are combined, and a node that does not answer is left out.
func TestQueriesCombinePeerAnswers(t *testing.T) {
	recent := fakeRegistry{
		recentlyHeard:   []string{"vm-1"},
		hasFreshState:   true,
		machinesByImage: map[string][]string{"i": {"vm-1"}},
	}
	outdated := fakeRegistry{
		recentlyHeard:   []string{"vm-2"},
		machinesByImage: map[string][]string{"i": {"vm-2"}, "j": {"vm-3"}},
	}
	transport := newTestTransport(t, &config.Settings{Node: "a", Peers: []config.Peer{
		{Node: "b", Endpoint: serve(t, &service{registry: recent})},
		{Node: "c", Endpoint: serve(t, &service{registry: outdated})},
		{Node: "d", Endpoint: unreachableEndpoint},
	}})
	heard := transport.QueryRecentlyHeard(t.Context(), []string{"vm-1", "vm-2", "vm-9"})
	if len(heard) != 1 || heard["vm-1"] != "b" {
		t.Errorf("heard %v", heard)
	}
	images := transport.QueryImages(t.Context())
	if len(images) != 2 || !images["i"]["vm-1"] || !images["i"]["vm-2"] || !images["j"]["vm-3"] {
		t.Errorf("images %v", images)
	}
}
