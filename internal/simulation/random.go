package simulation

import (
	"math/rand/v2"
	"time"
)

// randomStream identifies a generator among those that share a seed. Generators with the same seed and stream produce
// the same numbers; a few streams of the tests are used twice. The stream numbers must never change, as a seed would
// then produce another simulation run.
type randomStream uint64

// Streams of the fakes and of the faults that have a generator of their own.
const (
	streamNetwork             randomStream = 1
	streamCell                randomStream = 2
	streamCellLinks           randomStream = 3
	streamDelayedWrites       randomStream = 51
	streamSlowRequests        randomStream = 52
	streamDuplicates          randomStream = 53
	streamLostResponses       randomStream = 54
	streamHeartbeatCapture    randomStream = 55
	streamCancelAtCompletion  randomStream = 56
	streamCancelOnOwnerChange randomStream = 57
	streamInvalidRequests     randomStream = 58
	streamShortJobs           randomStream = 59
	streamCommandCopies       randomStream = 60
	streamStartRefusals       randomStream = 62
	streamWriteCopies         randomStream = 65
)

func newRandom(seed uint64, stream randomStream) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(stream)))
}

// faultRate selects a random share of messages for a fault until a time. It has a generator of its own. The zero value
// selects no message.
type faultRate struct {
	share  float64 // from 0 to 1
	until  time.Time
	random *rand.Rand
}

func newFaultRate(share float64, until time.Time, seed uint64, stream randomStream) faultRate {
	return faultRate{share: share, until: until, random: newRandom(seed, stream)}
}

// occurs reports whether the fault selects the next message.
func (f *faultRate) occurs() bool {
	return time.Now().Before(f.until) && f.random.Float64() < f.share
}

// duration returns a random duration from a range.
func (f *faultRate) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(f.random.Float64()*float64(to-from))
}

// milliseconds returns a random duration of whole milliseconds below a bound.
func milliseconds(random *rand.Rand, below int) time.Duration {
	return time.Duration(random.IntN(below)) * time.Millisecond
}

// seconds returns a random duration of whole seconds below a bound.
func seconds(random *rand.Rand, below int) time.Duration {
	return time.Duration(random.IntN(below)) * time.Second
}
