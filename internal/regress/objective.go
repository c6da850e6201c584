package regress

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
)

// Objective is the result of one service-level objective on a day.
type Objective struct {
	Text  string  // such as "submit 1000 ms: 0.98 (aim 0.995)"
	Score float64 // from 0 to 1; NaN if the objective did not count on that day
}

// UnmarshalJSON decodes the journal's pair of text and score.
func (o *Objective) UnmarshalJSON(data []byte) error {
	var score *float64
	pair := []any{&o.Text, &score}
	if err := json.Unmarshal(data, &pair); err != nil {
		return fmt.Errorf("objective: %w", err)
	}
	if len(pair) != 2 {
		return &FieldCountError{Value: "objective", Count: len(pair), Want: 2}
	}
	o.Score = math.NaN()
	if score != nil {
		o.Score = *score
	}
	return nil
}

// Name returns the text of the objective without the measured value and the target.
func (o Objective) Name() string {
	name, _, _ := strings.Cut(o.Text, ": ")
	return name
}

// largestObjectiveLoss describes the objective whose score dropped most from the baseline.
func largestObjectiveLoss(baseline, measured []Objective) string {
	byName := map[string]Objective{}
	for _, objective := range baseline {
		byName[objective.Name()] = objective
	}
	text, most := "no objective has a lower score", 0.0
	for _, objective := range measured {
		before, ok := byName[objective.Name()]
		if loss := before.Score - objective.Score; ok && loss > most {
			most = loss
			text = fmt.Sprintf("%s, before %s", objective.Text, before.Text)
		}
	}
	return text
}
