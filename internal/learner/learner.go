package learner

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"gonum.org/v1/gonum/mat"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

var (
	rewardHistogram    = promauto.NewHistogram(prometheus.HistogramOpts{Name: "sableusher_learn_payoff", Help: "Payoffs received.", Buckets: prometheus.LinearBuckets(0, 0.1, 11)})
	explorationCounter = promauto.NewCounter(prometheus.CounterOpts{Name: "sableusher_learn_explored_total", Help: "Random picks."})
	refitCounter       = promauto.NewCounterVec(prometheus.CounterOpts{Name: "sableusher_learn_refits_total", Help: "Refits of the readout by outcome."}, []string{"outcome"})
	refitErrorGauge    = promauto.NewGauge(prometheus.GaugeOpts{Name: "sableusher_learn_refit_error", Help: "Root mean square error of the last refit."})
	chosenValueGauge   = promauto.NewGauge(prometheus.GaugeOpts{Name: "sableusher_learn_chosen_value", Help: "Value of the last choice."})
)

// featureWidth of the features: reservoir, input and a constant.
const featureWidth = tuning.ReservoirUnits + inputWidth + 1

// ScoredAction is a scored action; scoring leaves no trace in the learner.
type ScoredAction struct {
	Value          float64
	reservoirState []float64
	features       []float64
}

type pendingDecision struct {
	features     []float64
	nextFeatures []float64 // features of the decision that followed
	reward       float64
	rewarded     bool
}

type trainingSample struct {
	features []float64
	target   float64
}

// Learner is a SARSA learner.
type Learner struct {
	learningRate, discount, explorationRate float64
	warmUpRewards                           int
	logger                                  *slog.Logger

	mu             sync.Mutex
	random         *rand.Rand
	reservoir      *reservoir
	reservoirState []float64
	weights        []float64
	pending        map[int64]*pendingDecision
	lastDecision   int64
	rewardCount    int
	samples        []trainingSample
	nextSample     int
}

// New makes a fresh learner that orders by its values after so many payoffs.
func New(learningRate, discount, explorationRate float64, warmUpRewards int, seed uint64, logger *slog.Logger) *Learner {
	return &Learner{learningRate: learningRate, discount: discount, explorationRate: explorationRate, warmUpRewards: warmUpRewards, logger: logger,
		random: rand.New(rand.NewPCG(seed, 1)), reservoir: newReservoir(tuning.ReservoirSeed), reservoirState: make([]float64, tuning.ReservoirUnits),
		weights: make([]float64, featureWidth), pending: map[int64]*pendingDecision{}}
}

// Warm tells whether the values may order jobs.
func (l *Learner) Warm() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rewardCount >= l.warmUpRewards
}

// Explore tells whether the next pick is to be random, and which of n it is.
func (l *Learner) Explore(n int) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n < 2 || l.random.Float64() >= l.explorationRate {
		return 0, false
	}
	explorationCounter.Inc()
	return l.random.IntN(n), true
}

// Score values an action without taking it.
func (l *Learner) Score(s *State, a *Action) ScoredAction {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := encodeInput(s, a)
	x := l.reservoir.nextState(l.reservoirState, u)
	phi := make([]float64, 0, featureWidth)
	phi = append(phi, x...)
	phi = append(phi, u...)
	phi = append(phi, 1)
	return ScoredAction{Value: dot(l.weights, phi), reservoirState: x, features: phi}
}

// TakeAction makes a scored action the one that was chosen: only now does the
// memory move on. The returned number names the decision for its payoff.
func (l *Learner) TakeAction(c ScoredAction) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	chosenValueGauge.Set(c.Value)
	l.reservoirState = c.reservoirState
	if d := l.pending[l.lastDecision]; d != nil {
		d.nextFeatures = c.features
		l.addSample(l.lastDecision, d)
	}
	l.lastDecision++
	l.pending[l.lastDecision] = &pendingDecision{features: c.features}
	if old := l.lastDecision - tuning.OpenDecisions; l.pending[old] != nil {
		delete(l.pending, old) // its payoff never came
	}
	return l.lastDecision
}

// Reward gives a decision its payoff, long after it was taken.
func (l *Learner) Reward(id int64, reward float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.pending[id]
	if d == nil || d.rewarded || math.IsNaN(reward) || math.IsInf(reward, 0) {
		return
	}
	d.rewarded, d.reward = true, reward
	l.rewardCount++
	rewardHistogram.Observe(reward)
	l.addSample(id, d)
}

// addSample turns a decision with payoff and successor into a sample.
func (l *Learner) addSample(id int64, d *pendingDecision) {
	if !d.rewarded || d.nextFeatures == nil {
		return
	}
	delete(l.pending, id)
	q := dot(l.weights, d.features)
	s := trainingSample{d.features, q + l.learningRate*(d.reward+l.discount*dot(l.weights, d.nextFeatures)-q)}
	if len(l.samples) < tuning.LearnSamples {
		l.samples = append(l.samples, s)
	} else {
		l.samples[l.nextSample] = s
	}
	l.nextSample = (l.nextSample + 1) % tuning.LearnSamples
}

// Refit fits the readout to the samples by ridge regression. A fit that fails
// or is not finite leaves the last good weights.
func (l *Learner) Refit() error {
	l.mu.Lock()
	samples := append([]trainingSample(nil), l.samples...)
	l.mu.Unlock()
	if len(samples) < tuning.LearnMinSamples {
		return nil
	}
	weights, rms, err := ridgeRegression(samples)
	if err != nil {
		refitCounter.WithLabelValues("failed").Inc()
		return fmt.Errorf("refit: %w", err)
	}
	refitCounter.WithLabelValues("good").Inc()
	refitErrorGauge.Set(rms)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weights = weights
	l.logger.Debug("values refitted", "samples", len(samples), "error", rms, "payoffs", l.rewardCount)
	return nil
}

func ridgeRegression(samples []trainingSample) ([]float64, float64, error) {
	x := mat.NewDense(len(samples), featureWidth, nil)
	y := mat.NewVecDense(len(samples), nil)
	for i, s := range samples {
		x.SetRow(i, s.features)
		y.SetVec(i, s.target)
	}
	var gram mat.SymDense
	gram.SymOuterK(1, x.T())
	for i := range featureWidth {
		gram.SetSym(i, i, gram.At(i, i)+tuning.Ridge)
	}
	var rhs mat.VecDense
	rhs.MulVec(x.T(), y)
	var chol mat.Cholesky
	if !chol.Factorize(&gram) {
		return nil, 0, errors.New("singular")
	}
	var w mat.VecDense
	if err := chol.SolveVecTo(&w, &rhs); err != nil {
		return nil, 0, err
	}
	out := make([]float64, featureWidth)
	for i := range out {
		if out[i] = w.AtVec(i); math.IsNaN(out[i]) || math.IsInf(out[i], 0) {
			return nil, 0, errors.New("not finite")
		}
	}
	sum := 0.0
	for _, s := range samples {
		d := dot(out, s.features) - s.target
		sum += d * d
	}
	return out, math.Sqrt(sum / float64(len(samples))), nil
}

func dot(a, b []float64) float64 {
	s := 0.0
	for i := range a {
		s += a[i] * b[i]
	}
	return s
}

// Checkpoint is the durable form of what was learned.
type Checkpoint struct {
	Version        int                  `cbor:"f"`
	Weights        []float64            `cbor:"w"`
	RewardCount    int                  `cbor:"p"`
	Runs           map[string][]float64 `cbor:"r"` // completed run times by class, newest last
	EstimateRatios map[string][]float64 `cbor:"q"` // run time over its owner's estimate
	// Where it is kept in pieces: how many there are, and when they were written.
	PieceCount  int   `cbor:"n,omitempty"`
	WrittenAtMs int64 `cbor:"t,omitempty"`
}

// Split gives the same in pieces of at most room bytes of JSON, to be written
// together. Figures are cut to six digits: they are advice, and shorter so.
func (s Checkpoint) Split(maxBytes int, atMs int64) []Checkpoint {
	bare := Checkpoint{Version: s.Version, RewardCount: s.RewardCount, WrittenAtMs: atMs, PieceCount: tuning.LearnClasses}
	out := []Checkpoint{bare}
	free := maxBytes - wire.JSONSize(wire.MustEncode(bare))
	// last gives the piece that has room for so much.
	last := func(size int) *Checkpoint {
		if free < size {
			out = append(out, bare)
			free = maxBytes - wire.JSONSize(wire.MustEncode(bare))
		}
		free -= size
		return &out[len(out)-1]
	}
	for _, w := range s.Weights {
		w = roundToSixDigits(w)
		p := last(wire.JSONSize(wire.MustEncode(w)) + 1)
		p.Weights = append(p.Weights, w)
	}
	for i, from := range []map[string][]float64{s.Runs, s.EstimateRatios} {
		for _, class := range slices.Sorted(maps.Keys(from)) {
			list := slices.Clone(from[class])
			for i := range list {
				list[i] = roundToSixDigits(list[i])
			}
			p := last(wire.JSONSize(wire.MustEncode(map[string][]float64{class: list})))
			mergeLists([]*map[string][]float64{&p.Runs, &p.EstimateRatios}[i], map[string][]float64{class: list})
		}
	}
	for i := range out {
		out[i].PieceCount = len(out)
	}
	return out
}

// roundToSixDigits cuts a figure to six digits.
func roundToSixDigits(v float64) float64 {
	out, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 6, 64), 64)
	if err != nil {
		return v
	}
	return out
}

// Append adds the next piece; one of another time is refused.
func (s *Checkpoint) Append(piece Checkpoint) error {
	if piece.WrittenAtMs != s.WrittenAtMs || piece.PieceCount != s.PieceCount || piece.Version != s.Version {
		return errors.New("pieces of different times")
	}
	s.Weights = append(s.Weights, piece.Weights...)
	mergeLists(&s.Runs, piece.Runs)
	mergeLists(&s.EstimateRatios, piece.EstimateRatios)
	return nil
}

// mergeLists copies lists into a map that may not be made yet.
func mergeLists(to *map[string][]float64, from map[string][]float64) {
	if *to == nil {
		*to = map[string][]float64{}
	}
	maps.Copy(*to, from)
}

// Save gives the readout's durable form.
func (l *Learner) Save() Checkpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Checkpoint{Version: tuning.LearnForm, Weights: append([]float64(nil), l.weights...), RewardCount: l.rewardCount}
}

// Restore goes on from a saved form; another form, width or a figure that is
// not finite is refused.
func (l *Learner) Restore(s Checkpoint) error {
	if s.Version != tuning.LearnForm || len(s.Weights) != featureWidth || s.RewardCount < 0 {
		return fmt.Errorf("form %d with %d weights, not form %d with %d", s.Version, len(s.Weights), tuning.LearnForm, featureWidth)
	}
	for _, w := range s.Weights {
		if math.IsNaN(w) || math.IsInf(w, 0) {
			return errors.New("a weight is not finite")
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weights, l.rewardCount = append([]float64(nil), s.Weights...), s.RewardCount
	return nil
}
