package regress

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"text/tabwriter"
)

// PrintTable writes the comparisons as a table with aligned columns.
func PrintTable(out io.Writer, comparisons []Comparison) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, err := fmt.Fprintln(table, "site\tday\tbefore\tnow\tprocessor s\tserved least\tverdict\twhy")
	for _, comparison := range comparisons {
		if err != nil {
			break
		}
		_, err = fmt.Fprintln(table, comparison.row())
	}
	if err == nil {
		err = table.Flush()
	}
	if err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}

// row returns the table row of the comparison, with tab-separated cells.
func (c *Comparison) row() string {
	baseline := "-"
	if !math.IsNaN(c.BaselineScore) {
		baseline = formatScore(c.BaselineScore)
	}
	reason := c.Reason
	for _, run := range c.SeedRuns {
		reason += fmt.Sprintf("; seed %d %s to %s", run.Seed, formatScore(run.BaselineScore), formatScore(run.Score))
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%.0f\t%s\t%s\t%s",
		c.Site, c.Day, baseline, formatScore(c.Score), c.CPUSeconds, c.LeastServed, c.Verdict, reason)
}

func formatScore(score float64) string { return strconv.FormatFloat(score, 'f', 3, 64) }
