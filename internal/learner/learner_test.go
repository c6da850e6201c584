package learner

import (
	"log/slog"
	"math"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// newTestLearner returns a learner with the paper's rates.
func newTestLearner(explorationRate float64, warmUpRewards int) *Learner {
	return New(Config{LearningRate: 0.2, Discount: 0.8, ExplorationRate: explorationRate,
		WarmUpRewards: warmUpRewards, Seed: 1, Logger: slog.New(slog.DiscardHandler)})
}

func drawStateAndAction(t *rapid.T) (*State, *Action) {
	f := rapid.Float64()
	state := &State{
		RunningWorkSeconds: f.Draw(t, "running"),
		NextFreeSeconds:    f.Draw(t, "next"),
		BacklogSeconds:     f.Draw(t, "backlog"),
		IdleMachines:       f.Draw(t, "idle"),
		TeamShares:         rapid.MapOf(rapid.String(), f).Draw(t, "shares"),
	}
	action := &Action{
		Class:         rapid.String().Draw(t, "class"),
		Team:          rapid.String().Draw(t, "team"),
		RunSeconds:    f.Draw(t, "run"),
		Interactive:   rapid.Bool().Draw(t, "interactive"),
		IsScaling:     rapid.Bool().Draw(t, "size"),
		ScaleFraction: f.Draw(t, "fraction"),
		Machines:      f.Draw(t, "machines"),
	}
	return state, action
}

// TestInputsAreBounded: whatever is observed, the encoding has its width and
// every entry lies within 0 and 1.
func TestInputsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := encodeInput(drawStateAndAction(t))
		if len(u) != inputWidth {
			t.Fatalf("width %d", len(u))
		}
		for i, v := range u {
			if !(v >= 0 && v <= 1) {
				t.Fatalf("input %d is %v", i, v)
			}
		}
	})
}

// TestReservoirForgets: two memories under the same inputs become the same.
func TestReservoirForgetsItsInitialState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReservoir(rapid.Uint64().Draw(t, "seed"))
		a, b := make([]float64, tuning.ReservoirUnits), make([]float64, tuning.ReservoirUnits)
		for i := range b {
			b[i] = 1
		}
		s, act := drawStateAndAction(t)
		u := encodeInput(s, act)
		for range 60 {
			a, b = r.nextState(a, u), r.nextState(b, u)
		}
		for i := range a {
			if math.Abs(a[i]-b[i]) > 1e-3 {
				t.Fatalf("unit %d still remembers: %v and %v", i, a[i], b[i])
			}
		}
	})
}

// TestScoringLeavesNoTrace: only the action that is taken moves the memory.
func TestScoringDoesNotChangeTheReservoir(t *testing.T) {
	l := newTestLearner(0, 0)
	s, a := &State{IdleMachines: 3}, &Action{Class: "x", RunSeconds: 10}
	before := append([]float64(nil), l.reservoirState...)
	c := l.Score(s, a)
	for i := range before {
		if l.reservoirState[i] != before[i] {
			t.Fatal("scoring moved the memory")
		}
	}
	l.TakeAction(c)
	moved := false
	for i := range before {
		moved = moved || l.reservoirState[i] != before[i]
	}
	if !moved {
		t.Fatal("taking did not move the memory")
	}
}

// TestLearnsWhatPays: of two classes the one that pays gets the higher value.
func TestHigherRewardGetsHigherValue(t *testing.T) {
	l := newTestLearner(0.05, 10)
	s := &State{}
	classes := map[string]float64{"pays": 1, "costs": 0}
	for round := range 40 {
		for range 20 {
			for c, r := range classes {
				l.Reward(l.TakeAction(l.Score(s, &Action{Class: c, RunSeconds: 10})), r)
			}
		}
		if err := l.Refit(); err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
	}
	good := l.Score(s, &Action{Class: "pays", RunSeconds: 10}).Value
	bad := l.Score(s, &Action{Class: "costs", RunSeconds: 10}).Value
	if good <= bad+0.1 || !l.Warm() {
		t.Fatalf("values %v and %v", good, bad)
	}
}

// TestBadFitsKeepWeights: a sample that is not finite must not spoil the values.
func TestFailedFitKeepsWeights(t *testing.T) {
	l := newTestLearner(0, 0)
	for range 100 {
		l.Reward(l.TakeAction(l.Score(&State{}, &Action{Class: "a"})), 0.5)
	}
	if err := l.Refit(); err != nil {
		t.Fatal(err)
	}
	want := l.Score(&State{}, &Action{Class: "a"}).Value
	l.samples[0].target = math.NaN()
	if err := l.Refit(); err == nil {
		t.Fatal("a fit to NaN was taken")
	}
	if got := l.Score(&State{}, &Action{Class: "a"}).Value; got != want {
		t.Fatalf("value %v became %v", want, got)
	}
}

// TestSavedForms: another form, width or a figure that is not finite is refused.
func TestInvalidCheckpointsAreRefused(t *testing.T) {
	l := newTestLearner(0, 0)
	good := l.Save()
	if err := l.Restore(good); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Checkpoint){
		"form":   func(s *Checkpoint) { s.Version++ },
		"width":  func(s *Checkpoint) { s.Weights = s.Weights[1:] },
		"nan":    func(s *Checkpoint) { s.Weights = append([]float64{math.NaN()}, s.Weights[1:]...) },
		"count":  func(s *Checkpoint) { s.RewardCount = -1 },
		"absent": func(s *Checkpoint) { *s = Checkpoint{} },
	} {
		s := good
		spoil(&s)
		if l.Restore(s) == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// TestMedianOfCompletedRuns: the owner's estimate holds until enough runs were
// seen, corrected by the class's bias; then the median does.
func TestRunTimeIsMedianOfCompletedRuns(t *testing.T) {
	e := NewRunTimeEstimates()
	if got := e.ExpectedRunSeconds("a", 100); got != 100 {
		t.Fatalf("without runs: %v", got)
	}
	e.RecordRun("a", 50, 100)
	if got := e.ExpectedRunSeconds("a", 200); got != 100 {
		t.Fatalf("with one run of half its estimate: %v", got)
	}
	for _, r := range []float64{math.NaN(), -1, 0, math.Inf(1)} {
		e.RecordRun("a", r, 100)
	}
	for range tuning.EstimateMinRuns {
		e.RecordRun("a", 300, 100)
	}
	if got := e.ExpectedRunSeconds("a", 1); got != 300 {
		t.Fatalf("median: %v", got)
	}
}

// TestSavedInPieces: whatever was learned is kept in pieces that stay within a
// limit, and goes together again; a piece of another time is refused.
func TestCheckpointInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		figures := rapid.SliceOfN(rapid.Float64Range(-1e6, 1e6), 0, 8)
		in := Checkpoint{Version: tuning.LearnerCheckpointVersion, RewardCount: rapid.IntRange(0, 1e6).Draw(t, "paid"),
			Weights:        rapid.SliceOfN(rapid.Float64Range(-1e6, 1e6), 1, 200).Draw(t, "weights"),
			Runs:           rapid.MapOfN(rapid.StringMatching("[a-z]{1,40}"), figures, 0, 20).Draw(t, "runs"),
			EstimateRatios: rapid.MapOfN(rapid.StringMatching("[a-z]{1,40}"), figures, 0, 20).Draw(t, "ratios")}
		room := rapid.IntRange(600, 4000).Draw(t, "room")
		pieces := in.Split(room, 5)
		var out Checkpoint
		for i, p := range pieces {
			b := wire.MustEncode(p)
			if n := wire.JSONSize(b); n > room {
				t.Fatalf("a piece takes %d of %d bytes", n, room)
			}
			var read Checkpoint
			if err := wire.Decode(b, &read); err != nil {
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
			t.Fatalf("%+v became %+v", in, out)
		}
		for i, w := range in.Weights {
			if math.Abs(out.Weights[i]-w) > 1e-5*math.Abs(w) {
				t.Fatalf("weight %v became %v", w, out.Weights[i])
			}
		}
		other := pieces[0]
		other.WrittenAtMs++
		if out.Append(other) == nil {
			t.Fatal("a piece of another time was taken")
		}
	})
}
