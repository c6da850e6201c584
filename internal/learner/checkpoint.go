package learner

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Checkpoint is the durable form of what was learned.
type Checkpoint struct {
	Version        int                  `cbor:"f"`
	Weights        []float64            `cbor:"w"`
	RewardCount    int                  `cbor:"p"`
	Runs           map[string][]float64 `cbor:"r"` // completed run times in seconds by class, newest last
	EstimateRatios map[string][]float64 `cbor:"q"` // run time over its owner's estimate, by class
	// PieceCount and WrittenAtMs are set where the checkpoint is kept in pieces: all have the same.
	PieceCount  int   `cbor:"n,omitempty"`
	WrittenAtMs int64 `cbor:"t,omitempty"` // Unix time
}

// Split returns the checkpoint in pieces of at most maxBytes of JSON, to be written together. Figures
// are cut to six digits: they are advice, and shorter so.
func (c Checkpoint) Split(maxBytes int, writtenAtMs int64) []Checkpoint {
	splitter := newCheckpointSplitter(Checkpoint{
		Version:     c.Version,
		RewardCount: c.RewardCount,
		WrittenAtMs: writtenAtMs,
		PieceCount:  tuning.EstimateMaxClasses, // the widest it can be; the real count is set at the end
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

// checkpointSplitter fills pieces up to a size, one after the other.
type checkpointSplitter struct {
	empty     Checkpoint // what each piece begins with
	maxBytes  int
	pieces    []Checkpoint
	freeBytes int // in the last piece
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

// pieceFor returns the last piece if it has size bytes left, else a new one, and takes them.
func (s *checkpointSplitter) pieceFor(size int) *Checkpoint {
	if s.freeBytes < size {
		s.addPiece()
	}
	s.freeBytes -= size
	return &s.pieces[len(s.pieces)-1]
}

// addLists puts each class's list into a piece's map of them.
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

// Append adds the next piece. The error is ErrPieceMismatch if it was not written with the others.
func (c *Checkpoint) Append(piece Checkpoint) error {
	if piece.WrittenAtMs != c.WrittenAtMs || piece.PieceCount != c.PieceCount || piece.Version != c.Version {
		return ErrPieceMismatch
	}
	c.Weights = append(c.Weights, piece.Weights...)
	mergeLists(&c.Runs, piece.Runs)
	mergeLists(&c.EstimateRatios, piece.EstimateRatios)
	return nil
}

// mergeLists copies lists into a map that may not be made yet.
func mergeLists(to *map[string][]float64, from map[string][]float64) {
	if *to == nil {
		*to = map[string][]float64{}
	}
	maps.Copy(*to, from)
}

// Save returns the learner's durable form, without run times.
func (l *Learner) Save() Checkpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Checkpoint{
		Version:     tuning.LearnerCheckpointVersion,
		Weights:     slices.Clone(l.weights),
		RewardCount: l.rewardCount,
	}
}

// Restore continues from a checkpoint. One of another version or width is refused with
// *CheckpointFormError, one with a weight that is no finite number with ErrWeightNotFinite; the
// learner stays as it was then.
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
