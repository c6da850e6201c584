package golden_test

import (
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/go-chi/chi/v5"

	"sableusher/internal/api"
	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
)

// TestRoutes checks the methods and paths that the API serves.
func TestRoutes(t *testing.T) {
	logger := slog.New(slog.DiscardHandler)
	server := api.New(api.Config{
		Settings: &config.Settings{}, Operator: &config.Operator{}, ClusterState: clusterstate.New(3, logger),
		Logger: logger,
	})
	routes, ok := server.Handler().(chi.Routes)
	if !ok {
		t.Fatal("the handler does not list its routes")
	}
	var lines []string
	add := func(method, route string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		lines = append(lines, method+" "+route+"\n")
		return nil
	}
	if err := chi.Walk(routes, add); err != nil {
		t.Fatal(err)
	}
	slices.Sort(lines)
	checkText(t, "routes.txt", strings.Join(lines, ""))
}
