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

// Config holds the parameters of a Learner.
type Config struct {
	LearningRate    float64 // SARSA's alpha, 0 to 1
	Discount        float64 // SARSA's gamma, 0 to 1
	ExplorationRate float64 // probability of a random action
	WarmUpRewards   int     // number of rewards before the values may order jobs
	Seed            uint64  // seed of the exploration's random numbers
	Logger          *slog.Logger
}

// ScoredAction is an action with its value. Scoring doesn't change the learner; see TakeAction.
type ScoredAction struct {
	Value          float64
	reservoirState []float64 // reservoir state after the action is taken
	features       []float64
}

// pendingDecision is an action that was taken and whose reward or next decision is not known yet.
type pendingDecision struct {
	features     []float64
	nextFeatures []float64 // features of the next decision; nil until it is taken
	reward       float64
	rewarded     bool
}

// Learner is a SARSA learner whose value function is an echo state network. It is safe for concurrent use.
type Learner struct {
	config    Config
	reservoir *reservoir

	mu             sync.Mutex // guards the fields below
	random         *rand.Rand
	reservoirState []float64
	weights        []float64
	pending        map[int64]*pendingDecision // by decision ID
	lastDecisionID int64
	rewardCount    int
	samples        []trainingSample // ring buffer of up to tuning.LearnerMaxSamples
	nextSample     int
}

// New returns an untrained learner: all its values are 0.
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

// Warm reports whether the learner has received enough rewards for its values to order jobs.
func (l *Learner) Warm() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rewardCount >= l.config.WarmUpRewards
}

// Explore reports whether the next of count actions is to be picked at random, and if so returns the index of
// the picked action. It does so with the probability Config.ExplorationRate.
func (l *Learner) Explore(count int) (pick int, explore bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if count < 2 || l.random.Float64() >= l.config.ExplorationRate {
		return 0, false
	}
	explorationCounter.Inc()
	return l.random.IntN(count), true
}

// Score returns the value of an action in a state. It doesn't change the learner.
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

// TakeAction records that a scored action was taken, and updates the reservoir's state, which no other
// method changes. It returns the decision's ID, with which its reward is reported.
func (l *Learner) TakeAction(action ScoredAction) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	chosenValueGauge.Set(action.Value)
	l.reservoirState = action.reservoirState
	if previous := l.pending[l.lastDecisionID]; previous != nil {
		previous.nextFeatures = action.features
		l.addSample(l.lastDecisionID, previous)
	}
	l.lastDecisionID++
	l.pending[l.lastDecisionID] = &pendingDecision{features: action.features}
	if old := l.lastDecisionID - tuning.LearnerMaxPendingDecisions; l.pending[old] != nil {
		delete(l.pending, old) // its reward was never reported
	}
	return l.lastDecisionID
}

// Reward records the reward of a decision, often minutes after it was taken. It ignores unknown and
// discarded decisions, a second reward for a decision, and a reward that is infinite or NaN.
func (l *Learner) Reward(decisionID int64, reward float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending := l.pending[decisionID]
	if pending == nil || pending.rewarded || math.IsNaN(reward) || math.IsInf(reward, 0) {
		return
	}
	pending.rewarded, pending.reward = true, reward
	l.rewardCount++
	rewardHistogram.Observe(reward)
	l.addSample(decisionID, pending)
}

// addSample turns a pending decision into a training sample, once both its reward and the next decision are
// known. Callers hold the lock.
func (l *Learner) addSample(decisionID int64, decision *pendingDecision) {
	if !decision.rewarded || decision.nextFeatures == nil {
		return
	}
	delete(l.pending, decisionID)
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

// Refit fits the readout's weights to the samples. With fewer than tuning.LearnerMinSamples samples it does
// nothing and returns nil. On error the weights are unchanged.
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
