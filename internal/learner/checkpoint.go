package learner

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Checkpoint is the saved state of a Learner and of RunTimeEstimates, or one piece of it.
type Checkpoint struct {
	Version        int                  `cbor:"f"`
	Weights        []float64            `cbor:"w"`
	RewardCount    int                  `cbor:"p"`
	Runs           map[string][]float64 `cbor:"r"` // completed run times in seconds by class, newest last
	EstimateRatios map[string][]float64 `cbor:"q"` // actual over estimated run time by class, newest last
	// PieceCount and WrittenAtMs are set if the checkpoint is saved in pieces. They are the same in all
	// pieces of a checkpoint.
	PieceCount  int   `cbor:"n,omitempty"`
	WrittenAtMs int64 `cbor:"t,omitempty"` // Unix time
}

// Split divides the checkpoint into pieces that take at most maxBytes each as JSON. All pieces must be written
// together. Weights and run times are rounded to six significant digits to save space; that is precise enough to
// rank actions.
func (c Checkpoint) Split(maxBytes int, writtenAtMs int64) []Checkpoint {
	splitter := newCheckpointSplitter(Checkpoint{
		Version:     c.Version,
		RewardCount: c.RewardCount,
		WrittenAtMs: writtenAtMs,
		PieceCount:  tuning.EstimateMaxClasses, // placeholder with at least as many digits; replaced below
	}, maxBytes)
	for _, weight := range c.Weights {
		weight = roundToSixDigits(weight)
		piece := splitter.pieceFor(encodedJSONSize(weight) + 1)
		piece.Weights = append(piece.Weights, weight)
	}
	splitter.addLists(c.Runs, func(piece *Checkpoint) *map[string][]float64 { return &piece.Runs })
	splitter.addLists(c.EstimateRatios, func(piece *Checkpoint) *map[string][]float64 { return &piece.EstimateRatios })
	for i := range splitter.pieces {
		splitter.pieces[i].PieceCount = len(splitter.pieces)
	}
	return splitter.pieces
}

// checkpointSplitter distributes entries to pieces of at most maxBytes of JSON, filling one after the other.
type checkpointSplitter struct {
	empty     Checkpoint // initial value of each piece
	maxBytes  int
	pieces    []Checkpoint
	freeBytes int // bytes of JSON left in the last piece
}

func newCheckpointSplitter(empty Checkpoint, maxBytes int) *checkpointSplitter {
	s := &checkpointSplitter{empty: empty, maxBytes: maxBytes}
	s.addPiece()
	return s
}

func (s *checkpointSplitter) addPiece() {
	s.pieces = append(s.pieces, s.empty)
	s.freeBytes = s.maxBytes - encodedJSONSize(s.empty)
}

// pieceFor reserves size bytes of JSON in the last piece, or in a new one if they don't fit, and returns that
// piece.
func (s *checkpointSplitter) pieceFor(size int) *Checkpoint {
	if s.freeBytes < size {
		s.addPiece()
	}
	s.freeBytes -= size
	return &s.pieces[len(s.pieces)-1]
}

// addLists adds the list of each class to the map that field selects in a piece.
func (s *checkpointSplitter) addLists(lists map[string][]float64, field func(*Checkpoint) *map[string][]float64) {
	for _, class := range slices.Sorted(maps.Keys(lists)) {
		rounded := slices.Clone(lists[class])
		for i := range rounded {
			rounded[i] = roundToSixDigits(rounded[i])
		}
		entry := map[string][]float64{class: rounded}
		mergeLists(field(s.pieceFor(encodedJSONSize(entry))), entry)
	}
}

func encodedJSONSize(value any) int { return wire.JSONSize(wire.MustEncode(value)) }

func roundToSixDigits(value float64) float64 {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(value, 'g', 6, 64), 64)
	if err != nil {
		return value
	}
	return rounded
}

// Append adds the next piece. It returns ErrPieceMismatch if the piece was not written together with the
// others.
func (c *Checkpoint) Append(piece Checkpoint) error {
	if piece.WrittenAtMs != c.WrittenAtMs || piece.PieceCount != c.PieceCount || piece.Version != c.Version {
		return ErrPieceMismatch
	}
	c.Weights = append(c.Weights, piece.Weights...)
	mergeLists(&c.Runs, piece.Runs)
	mergeLists(&c.EstimateRatios, piece.EstimateRatios)
	return nil
}

// mergeLists copies the lists of from into *to, and allocates *to if it is nil.
func mergeLists(to *map[string][]float64, from map[string][]float64) {
	if *to == nil {
		*to = map[string][]float64{}
	}
	maps.Copy(*to, from)
}

// Save returns a checkpoint of the learner, without run times.
func (l *Learner) Save() Checkpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Checkpoint{
		Version:     tuning.LearnerCheckpointVersion,
		Weights:     slices.Clone(l.weights),
		RewardCount: l.rewardCount,
	}
}

// Restore replaces the learner's weights and reward count by those of a checkpoint. It returns a
// *CheckpointFormError for a checkpoint of another version, with another number of weights or with a
// negative reward count, and ErrWeightNotFinite for one with a weight that is infinite or NaN. On error
// the learner is unchanged.
func (l *Learner) Restore(checkpoint Checkpoint) error {
	if checkpoint.Version != tuning.LearnerCheckpointVersion || len(checkpoint.Weights) != featureWidth ||
		checkpoint.RewardCount < 0 {
		return &CheckpointFormError{
			Version: checkpoint.Version, Weights: len(checkpoint.Weights),
			WantVersion: tuning.LearnerCheckpointVersion, WantWeights: featureWidth,
		}
	}
	for _, weight := range checkpoint.Weights {
		if math.IsNaN(weight) || math.IsInf(weight, 0) {
			return ErrWeightNotFinite
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weights, l.rewardCount = slices.Clone(checkpoint.Weights), checkpoint.RewardCount
	return nil
}
