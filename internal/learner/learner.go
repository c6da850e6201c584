package learner

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"sableusher/internal/tuning"
)

// Config sets up a Learner.
type Config struct {
	LearningRate    float64 // SARSA's alpha, 0 to 1
	Discount        float64 // SARSA's gamma, 0 to 1
	ExplorationRate float64 // probability of a random action
	WarmUpRewards   int     // rewards before the values may order jobs
	Seed            uint64  // of the random picks
	Logger          *slog.Logger
}

// ScoredAction is an action with its value; scoring leaves no trace in the learner.
type ScoredAction struct {
	Value          float64
	reservoirState []float64 // that follows if the action is taken
	features       []float64
}

// pendingDecision is an action that was taken and waits for its reward and its successor.
type pendingDecision struct {
	features     []float64
	nextFeatures []float64 // of the decision that followed
	reward       float64
	rewarded     bool
}

// Learner is a SARSA learner with an echo state value function.
type Learner struct {
	config    Config
	reservoir *reservoir

	mu             sync.Mutex // guards what follows
	random         *rand.Rand
	reservoirState []float64
	weights        []float64
	pending        map[int64]*pendingDecision // by number
	lastDecision   int64
	rewardCount    int
	samples        []trainingSample // a ring of tuning.LearnerMaxSamples
	nextSample     int
}

// New returns a learner that knows nothing yet: all values are 0.
func New(config Config) *Learner {
	return &Learner{
		config:         config,
		reservoir:      newReservoir(tuning.ReservoirSeed),
		random:         rand.New(rand.NewPCG(config.Seed, 1)),
		reservoirState: make([]float64, tuning.ReservoirUnits),
		weights:        make([]float64, featureWidth),
		pending:        map[int64]*pendingDecision{},
	}
}

// Warm reports whether enough rewards came for the values to order jobs.
func (l *Learner) Warm() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rewardCount >= l.config.WarmUpRewards
}

// Explore draws whether the next pick among count actions is to be random, and if so which it is.
func (l *Learner) Explore(count int) (pick int, explore bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if count < 2 || l.random.Float64() >= l.config.ExplorationRate {
		return 0, false
	}
	explorationCounter.Inc()
	return l.random.IntN(count), true
}

// Score returns the value of an action in a state, without taking it.
func (l *Learner) Score(state *State, action *Action) ScoredAction {
	l.mu.Lock()
	defer l.mu.Unlock()
	input := encodeInput(state, action)
	next := l.reservoir.nextState(l.reservoirState, input)
	features := make([]float64, 0, featureWidth)
	features = append(features, next...)
	features = append(features, input...)
	features = append(features, 1)
	return ScoredAction{Value: dot(l.weights, features), reservoirState: next, features: features}
}

// TakeAction makes a scored action the one that was chosen; only this moves the reservoir on. The
// number that it returns names the decision when its reward comes.
func (l *Learner) TakeAction(action ScoredAction) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	chosenValueGauge.Set(action.Value)
	l.reservoirState = action.reservoirState
	if previous := l.pending[l.lastDecision]; previous != nil {
		previous.nextFeatures = action.features
		l.addSample(l.lastDecision, previous)
	}
	l.lastDecision++
	l.pending[l.lastDecision] = &pendingDecision{features: action.features}
	if old := l.lastDecision - tuning.LearnerPendingDecisions; l.pending[old] != nil {
		delete(l.pending, old) // its reward never came
	}
	return l.lastDecision
}

// Reward gives a decision its reward, often minutes after it was taken. A decision that is not
// known any more, a second reward, and one that is not finite are ignored.
func (l *Learner) Reward(decision int64, reward float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending := l.pending[decision]
	if pending == nil || pending.rewarded || math.IsNaN(reward) || math.IsInf(reward, 0) {
		return
	}
	pending.rewarded, pending.reward = true, reward
	l.rewardCount++
	rewardHistogram.Observe(reward)
	l.addSample(decision, pending)
}

// addSample turns a decision that has its reward and its successor into a training sample.
func (l *Learner) addSample(number int64, decision *pendingDecision) {
	if !decision.rewarded || decision.nextFeatures == nil {
		return
	}
	delete(l.pending, number)
	value := dot(l.weights, decision.features)
	nextValue := dot(l.weights, decision.nextFeatures)
	target := value + l.config.LearningRate*(decision.reward+l.config.Discount*nextValue-value)
	sample := trainingSample{features: decision.features, target: target}
	if len(l.samples) < tuning.LearnerMaxSamples {
		l.samples = append(l.samples, sample)
	} else {
		l.samples[l.nextSample] = sample
	}
	l.nextSample = (l.nextSample + 1) % tuning.LearnerMaxSamples
}

// Refit fits the readout to the samples. An error leaves the last good weights; too few samples are
// no error.
func (l *Learner) Refit() error {
	l.mu.Lock()
	samples := slices.Clone(l.samples)
	l.mu.Unlock()
	if len(samples) < tuning.LearnerMinSamples {
		return nil
	}
	weights, err := ridgeRegression(samples)
	if err != nil {
		refitCounter.WithLabelValues(refitFailed).Inc()
		return fmt.Errorf("refit: %w", err)
	}
	rootMeanSquare := rootMeanSquareError(weights, samples)
	refitCounter.WithLabelValues(refitGood).Inc()
	refitErrorGauge.Set(rootMeanSquare)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weights = weights
	l.config.Logger.Debug("readout refitted",
		"samples", len(samples), "fit_error", rootMeanSquare, "rewards", l.rewardCount)
	return nil
}
