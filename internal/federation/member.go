package federation

import (
	"fmt"
	"time"

	"sableusher/internal/tuning"
)

// Member is a cell's durable record of another cell, changed only by the leader. The standing decides whether
// jobs are offered to the other cell. It is an estimate and never proves that a job or task has ended.
type Member struct {
	Name              string
	Epoch             uint64 // the highest epoch received from it
	Standing          Standing
	Since             time.Time // when it entered its standing, or when a return was last forgiven
	Returns           int       // returns not forgiven yet; each one after the first doubles the probation
	InventoryReceived bool      // its inventory under its present epoch was received and recorded
	FencedEpoch       uint64    // an operator has forgotten the cell under this epoch and all earlier ones
}

// Observation is the current information about a member.
type Observation struct {
	Configured        bool      // the operators' settings name it
	LastContact       time.Time // when this node last received a message from it; zero if never
	Epoch             uint64    // the epoch that this message named
	Draining          bool      // its operators are draining it
	InventoryReceived bool      // its inventory under this epoch was received and recorded
}

// hasRecentContact reports whether a message arrived from the member within tuning.CellSuspectedAfter.
func (o Observation) hasRecentContact(now time.Time) bool {
	return !o.LastContact.IsZero() && now.Sub(o.LastContact) < tuning.CellSuspectedAfter
}

// isLost reports whether no message arrived from the member for tuning.CellLostAfter or longer.
func (o Observation) isLost(now time.Time) bool {
	return o.LastContact.IsZero() || now.Sub(o.LastContact) >= tuning.CellLostAfter
}

// activeStanding returns the standing of a reachable member that has completed its probation.
func (o Observation) activeStanding() Standing {
	if o.Draining {
		return StandingDraining
	}
	return StandingJoined
}

// Step returns the member after at most one transition. A member becomes suspected and then lost by silence alone.
// When messages arrive again it is returning, and it joins after its inventory has been received and its
// probation has ended. The probation doubles with each further return that has not been forgiven.
//
//	from       to                   when
//	unknown    returning            a message arrives
//	joined     suspected            it is silent for tuning.CellSuspectedAfter
//	joined     draining             its operators drain it
//	suspected  joined or draining   a message arrives and its inventory has been received
//	suspected  returning            a message arrives and its inventory has not been received
//	suspected  lost                 it is silent for tuning.CellLostAfter
//	lost       returning            a message arrives
//	draining   joined               its operators end the drain
//	draining   suspected            it is silent for tuning.CellSuspectedAfter
//	returning  joined or draining   its inventory has been received and the probation has ended
//	returning  suspected            it is silent for tuning.CellSuspectedAfter
//	removed    returning            it is configured and a message arrives under an epoch above the fenced one
//	any        removed              it is no longer configured, or its epoch is fenced
//	any        returning            a message arrives under a higher epoch
func (m Member) Step(now time.Time, observed Observation) Member {
	m = m.forgiveReturn(now)
	recent := observed.hasRecentContact(now)
	valid := recent && observed.Configured && observed.Epoch > m.FencedEpoch
	fenced := m.FencedEpoch > 0 && m.Epoch <= m.FencedEpoch
	switch {
	case !observed.Configured, fenced && !valid:
		return m.enterIfChanged(StandingRemoved, now)
	case valid && observed.Epoch > m.Epoch:
		return m.enterEpoch(observed.Epoch, now)
	}
	if recent && observed.Epoch == m.Epoch && observed.InventoryReceived {
		m.InventoryReceived = true
	}
	return m.stepWithinEpoch(now, observed, valid)
}

// stepWithinEpoch is the part of Step for a member that is configured, is not to be removed and has not sent a
// message under a higher epoch. valid is set if it has sent one recently, under an epoch that is not fenced.
func (m Member) stepWithinEpoch(now time.Time, observed Observation, valid bool) Member {
	switch m.Standing {
	case StandingUnknown, StandingRemoved:
		return m.stepInactive(now, valid)
	case StandingLost:
		return m.stepLost(now, valid)
	case StandingJoined, StandingDraining:
		return m.stepActive(now, observed)
	case StandingSuspected:
		return m.stepSuspected(now, observed)
	case StandingReturning:
		return m.stepReturning(now, observed)
	}
	return m
}

// forgiveReturn removes one return from the count of a member that has been joined for long enough.
func (m Member) forgiveReturn(now time.Time) Member {
	if m.Returns > 0 && m.Standing == StandingJoined && now.Sub(m.Since) >= tuning.ProbationForgiveAfter {
		m.Returns--
		m.Since = now
	}
	return m
}

// enterEpoch is the transition of a member that sends a message under a higher epoch than before. The first epoch
// that is received from a member does not count as a return.
func (m Member) enterEpoch(epoch uint64, now time.Time) Member {
	if m.Epoch > 0 {
		m = m.countReturn()
	}
	m.Epoch, m.InventoryReceived = epoch, false
	return m.enter(StandingReturning, now)
}

func (m Member) stepInactive(now time.Time, valid bool) Member {
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

func (m Member) stepActive(now time.Time, observed Observation) Member {
	if !observed.hasRecentContact(now) {
		return m.enter(StandingSuspected, now)
	}
	return m.enterIfChanged(observed.activeStanding(), now)
}

func (m Member) stepSuspected(now time.Time, observed Observation) Member {
	switch {
	case observed.hasRecentContact(now) && m.InventoryReceived:
		return m.enter(observed.activeStanding(), now)
	case observed.hasRecentContact(now):
		return m.enter(StandingReturning, now)
	case observed.isLost(now):
		return m.enter(StandingLost, now)
	}
	return m
}

func (m Member) stepReturning(now time.Time, observed Observation) Member {
	switch {
	case !observed.hasRecentContact(now):
		return m.enter(StandingSuspected, now)
	case m.InventoryReceived && now.Sub(m.Since) >= m.probationPeriod():
		return m.enter(observed.activeStanding(), now)
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
	m.Returns = min(m.Returns+1, tuning.ProbationMaxReturns)
	return m
}

// probationPeriod returns how long a returning member must stay reachable before jobs are offered to it again.
func (m Member) probationPeriod() time.Duration { return tuning.CellProbation << max(m.Returns-1, 0) }

// AcceptsOffers reports whether jobs may be offered to the member.
func (m Member) AcceptsOffers() bool { return m.Standing == StandingJoined }

// Forget records an operator's statement that the cell is permanently gone as of the given epoch. The jobs that
// were offloaded to it may then be started in this cell again. Forget returns an *EpochMismatchError if epoch is
// not the highest one received from the cell, and a *NotLostError if the cell is neither lost nor removed.
func (m Member) Forget(epoch uint64, now time.Time) (Member, error) {
	switch {
	case epoch != m.Epoch:
		return m, &EpochMismatchError{Cell: m.Name, Known: m.Epoch, Received: epoch}
	case m.Standing != StandingLost && m.Standing != StandingRemoved:
		return m, &NotLostError{Cell: m.Name, Standing: m.Standing}
	}
	m.FencedEpoch, m.InventoryReceived = epoch, false
	return m.enter(StandingRemoved, now), nil
}

// WaitReason describes what must happen before jobs are offered to the member. It is empty for a joined member.
func (m Member) WaitReason(now time.Time) string {
	switch m.Standing {
	case StandingUnknown:
		return "its first message"
	case StandingSuspected:
		return fmt.Sprintf("a message from it; it is lost in %v", remaining(tuning.CellLostAfter, now.Sub(m.Since)))
	case StandingLost:
		return "a message from it, or its entry in <cells-forgotten>"
	case StandingReturning:
		if !m.InventoryReceived {
			return "its inventory"
		}
		return fmt.Sprintf("the end of its probation in %v", remaining(m.probationPeriod(), now.Sub(m.Since)))
	case StandingRemoved:
		return "an entry in the operators' settings, and an epoch above the forgotten one"
	case StandingDraining:
		return "its operators to end the drain"
	}
	return ""
}

// remaining returns the rest of a period, rounded to seconds.
func remaining(period, elapsed time.Duration) time.Duration {
	return max(period-elapsed, 0).Round(time.Second)
}
