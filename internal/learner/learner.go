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
	payoffs     = promauto.NewHistogram(prometheus.HistogramOpts{Name: "sableusher_learn_payoff", Help: "Payoffs received.", Buckets: prometheus.LinearBuckets(0, 0.1, 11)})
	explored    = promauto.NewCounter(prometheus.CounterOpts{Name: "sableusher_learn_explored_total", Help: "Random picks."})
	refits      = promauto.NewCounterVec(prometheus.CounterOpts{Name: "sableusher_learn_refits_total", Help: "Refits of the readout by outcome."}, []string{"outcome"})
	refitError  = promauto.NewGauge(prometheus.GaugeOpts{Name: "sableusher_learn_refit_error", Help: "Root mean square error of the last refit."})
	chosenValue = promauto.NewGauge(prometheus.GaugeOpts{Name: "sableusher_learn_chosen_value", Help: "Value of the last choice."})
)

// width of the features: reservoir, input and a constant.
const width = tuning.ReservoirUnits + inputWidth + 1

// Choice is a scored action; scoring leaves no trace in the learner.
type Choice struct {
	Value  float64
	memory []float64
	phi    []float64
}

type decision struct {
	phi    []float64
	next   []float64 // features of the decision that followed
	payoff float64
	paid   bool
}

type sample struct {
	phi    []float64
	target float64
}

// Learner is a SARSA learner.
type Learner struct {
	rate, discount, epsilon float64
	cold                    int
	log                     *slog.Logger

	mu      sync.Mutex
	rnd     *rand.Rand
	res     *reservoir
	memory  []float64
	weights []float64
	open    map[int64]*decision
	last    int64
	paid    int
	samples []sample
	at      int
}

// New makes a fresh learner that orders by its values after so many payoffs.
func New(rate, discount, epsilon float64, cold int, seed uint64, log *slog.Logger) *Learner {
	return &Learner{rate: rate, discount: discount, epsilon: epsilon, cold: cold, log: log,
		rnd: rand.New(rand.NewPCG(seed, 1)), res: newReservoir(tuning.ReservoirSeed), memory: make([]float64, tuning.ReservoirUnits),
		weights: make([]float64, width), open: map[int64]*decision{}}
}

// Warm tells whether the values may order jobs.
func (l *Learner) Warm() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paid >= l.cold
}

// Explore tells whether the next pick is to be random, and which of n it is.
func (l *Learner) Explore(n int) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n < 2 || l.rnd.Float64() >= l.epsilon {
		return 0, false
	}
	explored.Inc()
	return l.rnd.IntN(n), true
}

// Score values an action without taking it.
func (l *Learner) Score(s *State, a *Action) Choice {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := encode(s, a)
	x := l.res.step(l.memory, u)
	phi := make([]float64, 0, width)
	phi = append(phi, x...)
	phi = append(phi, u...)
	phi = append(phi, 1)
	return Choice{Value: dot(l.weights, phi), memory: x, phi: phi}
}

// Take makes a scored action the one that was chosen: only now does the
// memory move on. The returned number names the decision for its payoff.
func (l *Learner) Take(c Choice) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	chosenValue.Set(c.Value)
	l.memory = c.memory
	if d := l.open[l.last]; d != nil {
		d.next = c.phi
		l.settle(l.last, d)
	}
	l.last++
	l.open[l.last] = &decision{phi: c.phi}
	if old := l.last - tuning.OpenDecisions; l.open[old] != nil {
		delete(l.open, old) // its payoff never came
	}
	return l.last
}

// Pay gives a decision its payoff, long after it was taken.
func (l *Learner) Pay(id int64, payoff float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.open[id]
	if d == nil || d.paid || math.IsNaN(payoff) || math.IsInf(payoff, 0) {
		return
	}
	d.paid, d.payoff = true, payoff
	l.paid++
	payoffs.Observe(payoff)
	l.settle(id, d)
}

// settle turns a decision with payoff and successor into a sample.
func (l *Learner) settle(id int64, d *decision) {
	if !d.paid || d.next == nil {
		return
	}
	delete(l.open, id)
	q := dot(l.weights, d.phi)
	s := sample{d.phi, q + l.rate*(d.payoff+l.discount*dot(l.weights, d.next)-q)}
	if len(l.samples) < tuning.LearnSamples {
		l.samples = append(l.samples, s)
	} else {
		l.samples[l.at] = s
	}
	l.at = (l.at + 1) % tuning.LearnSamples
}

// Refit fits the readout to the samples by ridge regression. A fit that fails
// or is not finite leaves the last good weights.
func (l *Learner) Refit() error {
	l.mu.Lock()
	samples := append([]sample(nil), l.samples...)
	l.mu.Unlock()
	if len(samples) < tuning.LearnMinSamples {
		return nil
	}
	weights, rms, err := ridge(samples)
	if err != nil {
		refits.WithLabelValues("failed").Inc()
		return fmt.Errorf("refit: %w", err)
	}
	refits.WithLabelValues("good").Inc()
	refitError.Set(rms)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weights = weights
	l.log.Debug("values refitted", "samples", len(samples), "error", rms, "payoffs", l.paid)
	return nil
}

func ridge(samples []sample) ([]float64, float64, error) {
	x := mat.NewDense(len(samples), width, nil)
	y := mat.NewVecDense(len(samples), nil)
	for i, s := range samples {
		x.SetRow(i, s.phi)
		y.SetVec(i, s.target)
	}
	var gram mat.SymDense
	gram.SymOuterK(1, x.T())
	for i := range width {
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
	out := make([]float64, width)
	for i := range out {
		if out[i] = w.AtVec(i); math.IsNaN(out[i]) || math.IsInf(out[i], 0) {
			return nil, 0, errors.New("not finite")
		}
	}
	sum := 0.0
	for _, s := range samples {
		d := dot(out, s.phi) - s.target
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

// Saved is the durable form of what was learned.
type Saved struct {
	Form    int                  `cbor:"f"`
	Weights []float64            `cbor:"w"`
	Paid    int                  `cbor:"p"`
	Runs    map[string][]float64 `cbor:"r"` // completed run times by class, newest last
	Ratios  map[string][]float64 `cbor:"q"` // run time over its owner's estimate
	// Where it is kept in pieces: how many there are, and when they were written.
	Of   int   `cbor:"n,omitempty"`
	AtMs int64 `cbor:"t,omitempty"`
}

// Split gives the same in pieces of at most room bytes of JSON, to be written
// together. Figures are cut to six digits: they are advice, and shorter so.
func (s Saved) Split(room int, atMs int64) []Saved {
	bare := Saved{Form: s.Form, Paid: s.Paid, AtMs: atMs, Of: tuning.LearnClasses}
	out := []Saved{bare}
	free := room - wire.JSONSize(wire.MustEncode(bare))
	// last gives the piece that has room for so much.
	last := func(size int) *Saved {
		if free < size {
			out = append(out, bare)
			free = room - wire.JSONSize(wire.MustEncode(bare))
		}
		free -= size
		return &out[len(out)-1]
	}
	for _, w := range s.Weights {
		w = short(w)
		p := last(wire.JSONSize(wire.MustEncode(w)) + 1)
		p.Weights = append(p.Weights, w)
	}
	for i, from := range []map[string][]float64{s.Runs, s.Ratios} {
		for _, class := range slices.Sorted(maps.Keys(from)) {
			list := slices.Clone(from[class])
			for i := range list {
				list[i] = short(list[i])
			}
			p := last(wire.JSONSize(wire.MustEncode(map[string][]float64{class: list})))
			add([]*map[string][]float64{&p.Runs, &p.Ratios}[i], map[string][]float64{class: list})
		}
	}
	for i := range out {
		out[i].Of = len(out)
	}
	return out
}

// short cuts a figure to six digits.
func short(v float64) float64 {
	out, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 6, 64), 64)
	if err != nil {
		return v
	}
	return out
}

// Join adds the next piece; one of another time is refused.
func (s *Saved) Join(piece Saved) error {
	if piece.AtMs != s.AtMs || piece.Of != s.Of || piece.Form != s.Form {
		return errors.New("pieces of different times")
	}
	s.Weights = append(s.Weights, piece.Weights...)
	add(&s.Runs, piece.Runs)
	add(&s.Ratios, piece.Ratios)
	return nil
}

// add copies lists into a map that may not be made yet.
func add(to *map[string][]float64, from map[string][]float64) {
	if *to == nil {
		*to = map[string][]float64{}
	}
	maps.Copy(*to, from)
}

// Save gives the readout's durable form.
func (l *Learner) Save() Saved {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Saved{Form: tuning.LearnForm, Weights: append([]float64(nil), l.weights...), Paid: l.paid}
}

// Restore goes on from a saved form; another form, width or a figure that is
// not finite is refused.
func (l *Learner) Restore(s Saved) error {
	if s.Form != tuning.LearnForm || len(s.Weights) != width || s.Paid < 0 {
		return fmt.Errorf("form %d with %d weights, not form %d with %d", s.Form, len(s.Weights), tuning.LearnForm, width)
	}
	for _, w := range s.Weights {
		if math.IsNaN(w) || math.IsInf(w, 0) {
			return errors.New("a weight is not finite")
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weights, l.paid = append([]float64(nil), s.Weights...), s.Paid
	return nil
}
