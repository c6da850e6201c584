package federation

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// Room is a number of like machines of a cell with like free room.
type Room struct {
	Type  string
	Zone  string
	Spot  bool
	Free  record.Resources // on each
	Count int
}

// Digest is what a cell tells the others of itself: a hint, stamped and aged, of some KB whatever
// the cell's size. A wrong one costs an offer that is refused.
type Digest struct {
	At     time.Time `cbor:"-"`           // when it arrived here
	Rooms  []Room    `cbor:"r,omitempty"` // the largest, up to tuning.DigestShapes
	Waits  []float64 `cbor:"w,omitempty"` // by rank, in seconds: how long work without room is expected to wait
	Images []string  `cbor:"i,omitempty"` // held on many machines
	FetchS float64   `cbor:"f"`           // seconds for a GB of image
	BootS  float64   `cbor:"b"`           // until a machine that is rented is up, in seconds
	Guests int       `cbor:"g"`           // tasks of others that it takes at most beside those it has
}

// Shrink keeps the rooms that hold most, so that a digest stays within its size.
func Shrink(rooms []Room) []Room {
	sum := func(r Room) float64 { return float64(r.Count) * (r.Free.GPUs + r.Free.CPUs/64) }
	out := slices.Clone(rooms)
	slices.SortStableFunc(out, func(a, b Room) int { return -cmp.Compare(sum(a), sum(b)) })
	return out[:min(len(out), tuning.DigestShapes)]
}

// Work is a job that could start elsewhere.
type Work struct {
	ID      string
	Need    record.Resources // of each task
	Tasks   int
	OneZone bool     // all in one zone
	Types   []string // allowed types; none: any
	Spot    bool     // may use spot machines
	Rank    int
	Image   string
	ImageGB float64
	HereS   float64 // how long until it is expected to start here, in seconds
	Guest   bool    // came from another cell itself
}

// holds counts the tasks of a job that a digest's rooms take: all of them together, or in the zone
// that takes most.
func (d *Digest) holds(w *Work) int {
	zones := map[string]int{}
	for _, r := range d.Rooms {
		if r.Spot && !w.Spot || len(w.Types) > 0 && !slices.Contains(w.Types, r.Type) {
			continue
		}
		zone := r.Zone
		if !w.OneZone {
			zone = ""
		}
		zones[zone] += r.Count * binpack.TasksThatFit(w.Need, r.Free)
	}
	most := 0
	for _, n := range zones {
		most = max(most, n)
	}
	return most
}

// Candidate is a cell that work may be offered to.
type Candidate struct {
	Name      string
	Digest    Digest
	TransferS float64 // what a transfer there costs, in seconds, by the operators
	Flight    int     // tasks offered to it and not yet answered
}

// starts gives after how many seconds a job is expected to start in a cell; ok is false if it
// is not to be offered there: no fresh word, no more guests, or too much on its way. Where there is
// no room for all of it now it waits its turn and a boot.
func (c *Candidate) starts(w *Work, now time.Time) (after float64, ok bool) {
	d := &c.Digest
	if d.At.IsZero() || now.Sub(d.At) > tuning.DigestLife || c.Flight+w.Tasks > d.Guests {
		return 0, false
	}
	after = c.TransferS
	if !slices.Contains(d.Images, w.Image) {
		after += w.ImageGB * d.FetchS
	}
	room := d.holds(w) - c.Flight
	switch {
	case room >= w.Tasks && float64(c.Flight+w.Tasks) <= tuning.SpillFlight*float64(d.holds(w)):
	case w.Rank >= len(d.Waits):
		return 0, false
	default:
		after += d.Waits[w.Rank] + d.BootS
	}
	return after, true
}

// Choose says to which of some cells a job is best offered, if to any: one of two that are drawn,
// so that not all cells that heard the same digest choose the same, if it is expected to
// start there sooner than here by a margin. What came from elsewhere stays: one hop.
func Choose(now time.Time, w *Work, from []Candidate, rnd *rand.Rand) (to string, ok bool) {
	if w.Guest {
		return "", false
	}
	margin := max(tuning.SpillLeast.Seconds(), tuning.SpillMargin*w.HereS)
	list := slices.Clone(from)
	rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	best, tried := 0.0, 0
	for i := range list {
		after, may := list[i].starts(w, now)
		if !may {
			continue
		}
		tried++
		if after+margin <= w.HereS && (!ok || after < best) {
			to, best, ok = list[i].Name, after, true
		}
		if tried == 2 {
			break
		}
	}
	return to, ok
}
