package learner

import (
	"log/slog"
	"math"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// newTestLearner returns a learner with the paper's learning rate and discount.
func newTestLearner(explorationRate float64, warmUpRewards int) *Learner {
	return New(Config{LearningRate: 0.2, Discount: 0.8, ExplorationRate: explorationRate,
		WarmUpRewards: warmUpRewards, Seed: 1, Logger: slog.New(slog.DiscardHandler)})
}

func drawStateAndAction(t *rapid.T) (*State, *Action) {
	float := rapid.Float64()
	state := &State{
		RunningWorkSeconds: float.Draw(t, "running"),
		NextFreeSeconds:    float.Draw(t, "next"),
		BacklogSeconds:     float.Draw(t, "backlog"),
		IdleMachines:       float.Draw(t, "idle"),
		TeamShares:         rapid.MapOf(rapid.String(), float).Draw(t, "shares"),
	}
	action := &Action{
		Class:         rapid.String().Draw(t, "class"),
		Team:          rapid.String().Draw(t, "team"),
		RunSeconds:    float.Draw(t, "run"),
		Interactive:   rapid.Bool().Draw(t, "interactive"),
		IsScaling:     rapid.Bool().Draw(t, "size"),
		ScaleFraction: float.Draw(t, "fraction"),
		Machines:      float.Draw(t, "machines"),
	}
	return state, action
}

// TestInputsAreBounded checks that for any state and action the encoding has inputWidth entries, each between
// 0 and 1.
func TestInputsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := encodeInput(drawStateAndAction(t))
		if len(input) != inputWidth {
			t.Fatalf("input has %d entries", len(input))
		}
		for i, value := range input {
			if !(value >= 0 && value <= 1) {
				t.Fatalf("input entry %d is %v, want 0 to 1", i, value)
			}
		}
	})
}

// TestReservoirForgetsItsInitialState checks that two reservoir states converge under the same inputs.
func TestReservoirForgetsItsInitialState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reservoir := newReservoir(rapid.Uint64().Draw(t, "seed"))
		stateA, stateB := make([]float64, tuning.ReservoirUnits), make([]float64, tuning.ReservoirUnits)
		for i := range stateB {
			stateB[i] = 1
		}
		state, action := drawStateAndAction(t)
		input := encodeInput(state, action)
		for range 60 {
			stateA, stateB = reservoir.nextState(stateA, input), reservoir.nextState(stateB, input)
		}
		for i := range stateA {
			if math.Abs(stateA[i]-stateB[i]) > 1e-3 {
				t.Fatalf("unit %d still depends on the initial state: %v and %v", i, stateA[i], stateB[i])
			}
		}
	})
}

// TestScoringDoesNotChangeTheReservoir checks that the reservoir's state changes when an action is taken, and
// not when it is scored.
func TestScoringDoesNotChangeTheReservoir(t *testing.T) {
	learner := newTestLearner(0, 0)
	state, action := &State{IdleMachines: 3}, &Action{Class: "x", RunSeconds: 10}
	before := append([]float64(nil), learner.reservoirState...)
	candidate := learner.Score(state, action)
	for i := range before {
		if learner.reservoirState[i] != before[i] {
			t.Fatal("scoring changed the reservoir's state")
		}
	}
	learner.TakeAction(candidate)
	changed := false
	for i := range before {
		changed = changed || learner.reservoirState[i] != before[i]
	}
	if !changed {
		t.Fatal("taking an action did not change the reservoir's state")
	}
}

// TestHigherRewardGetsHigherValue checks that of two classes the one with the higher reward gets the higher
// value.
func TestHigherRewardGetsHigherValue(t *testing.T) {
	learner := newTestLearner(0.05, 10)
	state := &State{}
	classes := map[string]float64{"pays": 1, "costs": 0}
	for round := range 40 {
		for range 20 {
			for class, reward := range classes {
				learner.Reward(learner.TakeAction(learner.Score(state, &Action{Class: class, RunSeconds: 10})), reward)
			}
		}
		if err := learner.Refit(); err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
	}
	good := learner.Score(state, &Action{Class: "pays", RunSeconds: 10}).Value
	bad := learner.Score(state, &Action{Class: "costs", RunSeconds: 10}).Value
	if good <= bad+0.1 || !learner.Warm() {
		t.Fatalf("the class with the higher reward has the value %v, the other class %v", good, bad)
	}
}

// TestFailedFitKeepsWeights checks that a refit with a sample that is not finite fails and leaves the values
// unchanged.
func TestFailedFitKeepsWeights(t *testing.T) {
	learner := newTestLearner(0, 0)
	for range 100 {
		learner.Reward(learner.TakeAction(learner.Score(&State{}, &Action{Class: "a"})), 0.5)
	}
	if err := learner.Refit(); err != nil {
		t.Fatal(err)
	}
	want := learner.Score(&State{}, &Action{Class: "a"}).Value
	learner.samples[0].target = math.NaN()
	if err := learner.Refit(); err == nil {
		t.Fatal("a refit with a NaN target succeeded")
	}
	if got := learner.Score(&State{}, &Action{Class: "a"}).Value; got != want {
		t.Fatalf("value %v became %v", want, got)
	}
}

// TestInvalidCheckpointsAreRejected checks that Restore rejects a checkpoint of another version, with another number
// of weights, with a weight that is not finite, or with a negative reward count.
func TestInvalidCheckpointsAreRejected(t *testing.T) {
	learner := newTestLearner(0, 0)
	good := learner.Save()
	if err := learner.Restore(good); err != nil {
		t.Fatal(err)
	}
	for name, corrupt := range map[string]func(*Checkpoint){
		"version":           func(s *Checkpoint) { s.Version++ },
		"number of weights": func(s *Checkpoint) { s.Weights = s.Weights[1:] },
		"NaN weight":        func(s *Checkpoint) { s.Weights = append([]float64{math.NaN()}, s.Weights[1:]...) },
		"reward count":      func(s *Checkpoint) { s.RewardCount = -1 },
		"empty":             func(s *Checkpoint) { *s = Checkpoint{} },
	} {
		corrupted := good
		corrupt(&corrupted)
		if learner.Restore(corrupted) == nil {
			t.Errorf("%s: invalid checkpoint was restored", name)
		}
	}
}

// TestRunTimeIsMedianOfCompletedRuns checks that the expected run time is the owner's estimate, corrected by
// the class's bias, until tuning.EstimateMinRuns runs are recorded, and then the median. Run times that are not
// positive and finite are ignored.
func TestRunTimeIsMedianOfCompletedRuns(t *testing.T) {
	estimates := NewRunTimeEstimates()
	if got := estimates.ExpectedRunSeconds("a", 100); got != 100 {
		t.Fatalf("expected run time without runs is %v, want 100", got)
	}
	estimates.RecordRun("a", 50, 100)
	if got := estimates.ExpectedRunSeconds("a", 200); got != 100 {
		t.Fatalf("expected run time after one run of half its estimate is %v, want 100", got)
	}
	for _, seconds := range []float64{math.NaN(), -1, 0, math.Inf(1)} {
		estimates.RecordRun("a", seconds, 100)
	}
	for range tuning.EstimateMinRuns {
		estimates.RecordRun("a", 300, 100)
	}
	if got := estimates.ExpectedRunSeconds("a", 1); got != 300 {
		t.Fatalf("expected run time is %v, want the median 300", got)
	}
}

// TestCheckpointInPieces checks that the pieces of a split checkpoint stay within the size limit and can be
// joined again, and that a piece that was written at another time is rejected.
func TestCheckpointInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Float64Range(-1e6, 1e6), 0, 8)
		in := Checkpoint{
			Version:        tuning.LearnerCheckpointVersion,
			RewardCount:    rapid.IntRange(0, 1e6).Draw(t, "reward count"),
			Weights:        rapid.SliceOfN(rapid.Float64Range(-1e6, 1e6), 1, 200).Draw(t, "weights"),
			Runs:           rapid.MapOfN(rapid.StringMatching("[a-z]{1,40}"), values, 0, 20).Draw(t, "runs"),
			EstimateRatios: rapid.MapOfN(rapid.StringMatching("[a-z]{1,40}"), values, 0, 20).Draw(t, "ratios"),
		}
		maxBytes := rapid.IntRange(600, 4000).Draw(t, "max bytes")
		pieces := in.Split(maxBytes, 5)
		var out Checkpoint
		for i, piece := range pieces {
			encoded := wire.MustEncode(piece)
			if size := wire.JSONSize(encoded); size > maxBytes {
				t.Fatalf("a piece takes %d bytes, the limit is %d", size, maxBytes)
			}
			var read Checkpoint
			if err := wire.Decode(encoded, &read); err != nil {
				t.Fatal(err)
			}
			if i == 0 {
				out = read
			} else if err := out.Append(read); err != nil {
				t.Fatal(err)
			}
		}
		if out.PieceCount != len(pieces) || out.RewardCount != in.RewardCount ||
			len(out.Weights) != len(in.Weights) || len(out.Runs) != len(in.Runs) ||
			len(out.EstimateRatios) != len(in.EstimateRatios) {
			t.Fatalf("checkpoint %+v became %+v", in, out)
		}
		for i, weight := range in.Weights {
			if math.Abs(out.Weights[i]-weight) > 1e-5*math.Abs(weight) {
				t.Fatalf("weight %v became %v", weight, out.Weights[i])
			}
		}
		other := pieces[0]
		other.WrittenAtMs++
		if out.Append(other) == nil {
			t.Fatal("a piece written at another time was appended")
		}
	})
}
