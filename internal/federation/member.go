package federation

import (
	"fmt"
	"time"

	"sableusher/internal/tuning"
)

// Member is what a cell keeps of another one, in a durable record that its leader changes. The standing
// decides whether jobs are offered; it is an estimate and never proves that anything has ended.
type Member struct {
	Name               string
	Epoch              uint64 // the highest received of it
	Standing           Standing
	Since              time.Time // when it got its standing, or when a return was last forgiven
	Returns            int       // returns that have not been forgiven yet; each doubles the probation
	InventoryExchanged bool      // both inventories under its present epoch have been received
	FencedEpoch        uint64    // epochs up to this one were forgotten by an operator
}

// Observation is what is known of a member now.
type Observation struct {
	Configured         bool      // in the operators' list
	LastHeard          time.Time // when any node of this cell last heard it; zero if never
	Epoch              uint64    // the epoch it named then
	Draining           bool      // its operators drain it
	InventoryExchanged bool      // both inventories under this epoch have been received
}

// isRecent tells whether the member has been heard recently enough not to be suspected.
func (o Observation) isRecent(now time.Time) bool {
	return !o.LastHeard.IsZero() && now.Sub(o.LastHeard) < tuning.CellSuspectedAfter
}

// isLost tells whether the member has been silent for so long that it counts as lost.
func (o Observation) isLost(now time.Time) bool {
	return o.LastHeard.IsZero() || now.Sub(o.LastHeard) >= tuning.CellLostAfter
}

// exchangingStanding returns the standing of a member that has completed its probation.
func (o Observation) exchangingStanding() Standing {
	if o.Draining {
		return StandingDraining
	}
	return StandingJoined
}

// Step returns the member after one transition. Silence alone leads through suspected to lost; a member that
// is heard again returns, and joins once inventories are exchanged and its probation is over. The probation
// doubles with each return that has not been forgiven.
//
//	unknown    heard: returning
//	joined     silent: suspected; drained by its operators: draining
//	suspected  heard: joined or draining, returning if inventories are missing; silent for long: lost
//	lost       heard: returning
//	draining   no longer drained: joined; silent: suspected
//	returning  inventories exchanged and probation over: joined or draining; silent: suspected
//	removed    named and heard under an epoch above the forgotten one: returning
//	any        no longer named, or its epoch forgotten: removed
//	any        heard under a new epoch: returning
func (m Member) Step(now time.Time, observed Observation) Member {
	m = m.forgiveReturn(now)
	recent := observed.isRecent(now)
	valid := recent && observed.Configured && observed.Epoch > m.FencedEpoch
	fenced := m.FencedEpoch > 0 && m.Epoch <= m.FencedEpoch
	switch {
	case !observed.Configured, fenced && !valid:
		return m.enterIfChanged(StandingRemoved, now)
	case valid && observed.Epoch > m.Epoch:
		return m.enterEpoch(observed.Epoch, now)
	}
	if recent && observed.Epoch == m.Epoch && observed.InventoryExchanged {
		m.InventoryExchanged = true
	}
	return m.stepWithinEpoch(now, observed, valid)
}

// stepWithinEpoch is Step for a member that is named, not forgotten and of which no new epoch is heard. valid
// tells whether it has been heard recently, under an epoch that counts.
func (m Member) stepWithinEpoch(now time.Time, observed Observation, valid bool) Member {
	switch m.Standing {
	case StandingUnknown, StandingRemoved:
		return m.stepUnheard(now, valid)
	case StandingLost:
		return m.stepLost(now, valid)
	case StandingJoined, StandingDraining:
		return m.stepExchanging(now, observed)
	case StandingSuspected:
		return m.stepSuspected(now, observed)
	case StandingReturning:
		return m.stepReturning(now, observed)
	}
	return m
}

// forgiveReturn takes one return off a member that has been joined for long enough.
func (m Member) forgiveReturn(now time.Time) Member {
	if m.Returns > 0 && m.Standing == StandingJoined && now.Sub(m.Since) >= tuning.ZoneProbationForgiveAfter {
		m.Returns--
		m.Since = now
	}
	return m
}

// enterEpoch is the transition of a member that is heard under a higher epoch than before. The first epoch
// that is received of a member does not count as a return.
func (m Member) enterEpoch(epoch uint64, now time.Time) Member {
	if m.Epoch > 0 {
		m = m.countReturn()
	}
	m.Epoch, m.InventoryExchanged = epoch, false
	return m.enter(StandingReturning, now)
}

func (m Member) stepUnheard(now time.Time, valid bool) Member {
	if !valid {
		return m
	}
	return m.enter(StandingReturning, now)
}

func (m Member) stepLost(now time.Time, valid bool) Member {
	if !valid {
		return m
	}
	return m.countReturn().enter(StandingReturning, now)
}

func (m Member) stepExchanging(now time.Time, observed Observation) Member {
	if !observed.isRecent(now) {
		return m.enter(StandingSuspected, now)
	}
	return m.enterIfChanged(observed.exchangingStanding(), now)
}

func (m Member) stepSuspected(now time.Time, observed Observation) Member {
	switch {
	case observed.isRecent(now) && m.InventoryExchanged:
		return m.enter(observed.exchangingStanding(), now)
	case observed.isRecent(now):
		return m.enter(StandingReturning, now)
	case observed.isLost(now):
		return m.enter(StandingLost, now)
	}
	return m
}

func (m Member) stepReturning(now time.Time, observed Observation) Member {
	switch {
	case !observed.isRecent(now):
		return m.enter(StandingSuspected, now)
	case m.InventoryExchanged && now.Sub(m.Since) >= m.probationPeriod():
		return m.enter(observed.exchangingStanding(), now)
	}
	return m
}

func (m Member) enter(standing Standing, now time.Time) Member {
	m.Standing, m.Since = standing, now
	return m
}

func (m Member) enterIfChanged(standing Standing, now time.Time) Member {
	if m.Standing == standing {
		return m
	}
	return m.enter(standing, now)
}

func (m Member) countReturn() Member {
	m.Returns = min(m.Returns+1, tuning.ZoneProbationMaxDoublings)
	return m
}

// probationPeriod is how long a member that returned is watched before jobs are exchanged with it again.
func (m Member) probationPeriod() time.Duration { return tuning.CellProbation << max(m.Returns-1, 0) }

// AcceptsOffers tells whether jobs may be offered to the member.
func (m Member) AcceptsOffers() bool { return m.Standing == StandingJoined }

// Forget records an operator's statement that a cell is gone for good, under the epoch named: the jobs that it
// held may then be started here again. It returns an *EpochMismatchError for another epoch than the one known,
// and a *NotLostError while the cell may still be heard.
func (m Member) Forget(epoch uint64, now time.Time) (Member, error) {
	switch {
	case epoch != m.Epoch:
		return m, &EpochMismatchError{Cell: m.Name, Known: m.Epoch, Received: epoch}
	case m.Standing != StandingLost && m.Standing != StandingRemoved:
		return m, &NotLostError{Cell: m.Name, Standing: m.Standing}
	}
	m.FencedEpoch, m.InventoryExchanged = epoch, false
	return m.enter(StandingRemoved, now), nil
}

// WaitReason says what a member to which no jobs are offered waits for; it is empty for one that is joined.
func (m Member) WaitReason(now time.Time) string {
	switch m.Standing {
	case StandingUnknown:
		return "its first message"
	case StandingSuspected:
		return fmt.Sprintf("a message of it, lost in %v", remaining(tuning.CellLostAfter, now.Sub(m.Since)))
	case StandingLost:
		return "a message of it, or `cell forget`"
	case StandingReturning:
		if !m.InventoryExchanged {
			return "the inventories of both cells"
		}
		return fmt.Sprintf("the end of its probation in %v", remaining(m.probationPeriod(), now.Sub(m.Since)))
	case StandingRemoved:
		return "an entry in the operators' list, and an epoch above the forgotten one"
	case StandingDraining:
		return "its operators to end the drain"
	}
	return ""
}

// remaining is what is left of a period, in whole seconds.
func remaining(period, elapsed time.Duration) time.Duration {
	return max(period-elapsed, 0).Round(time.Second)
}
