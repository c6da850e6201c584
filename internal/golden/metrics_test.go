package golden_test

import (
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	_ "sableusher/internal/controller" // registers the metrics of all packages
)

// metricDescription matches the text of a metric's description and captures the metric's name and labels.
var metricDescription = regexp.MustCompile(`fqName: "(sableusher_[^"]*)".*variableLabels: (\{[^}]*\})`)

// TestMetrics checks that metrics keep their names and labels.
func TestMetrics(t *testing.T) {
	registry, ok := prometheus.DefaultRegisterer.(prometheus.Collector)
	if !ok {
		t.Fatal("the registry does not describe its metrics")
	}
	descriptions := make(chan *prometheus.Desc)
	go func() {
		defer close(descriptions)
		registry.Describe(descriptions)
	}()
	var lines []string
	for description := range descriptions {
		if parts := metricDescription.FindStringSubmatch(description.String()); parts != nil {
			lines = append(lines, parts[1]+" "+parts[2]+"\n")
		}
	}
	slices.Sort(lines)
	checkText(t, "metrics.txt", strings.Join(lines, ""))
}
