package federation

import (
	"fmt"
	"time"

	"sableusher/internal/tuning"
)

// Standing is what one cell is to another.
type Standing int

// Standings.
const (
	StandingUnknown   Standing = iota // named in the operators' list, never heard
	StandingJoined                    // heard, settled, exchanges work
	StandingSuspected                 // not heard lately: nothing new is given, what is there stays
	StandingLost                      // not heard for long: what it was about to be given goes elsewhere
	StandingDraining                  // takes nothing new and sends home what it has, by its operators' word
	StandingReturning                 // heard again, or under a new epoch: settles before it exchanges work
	StandingRemoved                   // no longer named, or forgotten: its words count for nothing
)

// AllStandings lists all.
var AllStandings = []Standing{StandingUnknown, StandingJoined, StandingSuspected, StandingLost, StandingDraining, StandingReturning, StandingRemoved}

// String is the standing's word in logs, metrics and pages.
func (s Standing) String() string {
	return [...]string{"unknown", "joined", "doubted", "lost", "draining", "returning", "left"}[s]
}

// Member is what a cell keeps of another one, in a durable record that its leader changes. The
// standing decides what is offered and where work goes; it is a view, and never proves that
// anything has ended.
type Member struct {
	Name               string
	Epoch              uint64 // the highest heard of it
	Standing           Standing
	Since              time.Time // of the standing
	Returns            int       // that are not forgiven yet
	InventoryExchanged bool      // its inventory of this epoch is in, and ours with it
	FencedEpoch        uint64    // epochs up to this one were forgotten by an operator
}

// Observation is what is known of a member now.
type Observation struct {
	Configured         bool      // in the operators' list
	LastHeard          time.Time // when any of our nodes last heard it; zero if never
	Epoch              uint64    // that it spoke under then
	Draining           bool      // by its operators' word
	InventoryExchanged bool      // inventories under this epoch were exchanged
}

// Step is the machine's one transition. What stays out of reach goes through doubted to lost by
// time alone; what is heard again returns, and joins once it is settled and its probation
// is over, which doubles with each return that is not forgiven.
//
//	unknown    heard: returning
//	joined     silent: doubted; a new epoch: returning; its operators' word: draining
//	doubted    heard: joined; silent for long: lost; a new epoch: returning
//	lost       heard: returning
//	draining   the word is taken back: joined; silent: doubted; a new epoch: returning
//	returning  settled and the probation over: joined or draining; silent: doubted
//	any        no longer named, or its epoch forgotten: left
//	left       named and heard under an epoch above the one forgotten: returning
func (m Member) Step(now time.Time, h Observation) Member {
	fresh := !h.LastHeard.IsZero() && now.Sub(h.LastHeard) < tuning.CellDoubt
	gone := h.LastHeard.IsZero() || now.Sub(h.LastHeard) >= tuning.CellLost
	counts := h.Configured && h.Epoch > m.FencedEpoch
	enter := func(s Standing) {
		m.Standing, m.Since = s, now
	}
	if m.Returns > 0 && m.Standing == StandingJoined && now.Sub(m.Since) >= tuning.ProbationForgive {
		m.Returns--
		m.Since = now
	}
	switch {
	case !h.Configured || m.FencedEpoch > 0 && m.Epoch <= m.FencedEpoch && !(fresh && counts):
		if m.Standing != StandingRemoved {
			enter(StandingRemoved)
		}
		return m
	case fresh && counts && h.Epoch > m.Epoch:
		known := m.Epoch > 0
		m.Epoch, m.InventoryExchanged = h.Epoch, false
		if known {
			m.Returns = min(m.Returns+1, tuning.ProbationReturns)
		}
		enter(StandingReturning)
		return m
	}
	m.InventoryExchanged = m.InventoryExchanged || fresh && h.Epoch == m.Epoch && h.InventoryExchanged
	open := StandingJoined
	if h.Draining {
		open = StandingDraining
	}
	switch m.Standing {
	case StandingRemoved, StandingLost, StandingUnknown:
		if fresh && counts {
			if m.Standing == StandingLost {
				m.Returns = min(m.Returns+1, tuning.ProbationReturns)
			}
			enter(StandingReturning)
		}
	case StandingJoined, StandingDraining:
		switch {
		case !fresh:
			enter(StandingSuspected)
		case m.Standing != open:
			enter(open)
		}
	case StandingSuspected:
		switch {
		case fresh && m.InventoryExchanged:
			enter(open)
		case fresh:
			enter(StandingReturning)
		case gone:
			enter(StandingLost)
		}
	case StandingReturning:
		switch {
		case !fresh:
			enter(StandingSuspected)
		case m.InventoryExchanged && now.Sub(m.Since) >= m.probationPeriod():
			enter(open)
		}
	}
	return m
}

// probationPeriod is how long a member that returned is watched before it exchanges work again.
func (m Member) probationPeriod() time.Duration { return tuning.CellProbation << max(m.Returns-1, 0) }

// AcceptsOffers tells whether work may be offered to it.
func (m Member) AcceptsOffers() bool { return m.Standing == StandingJoined }

// Forget is an operator's word that a cell is gone for good, under the epoch named: what is
// away there may be taken back. It is refused for another epoch than the one known, and while
// the cell is or may soon be heard.
func (m Member) Forget(epoch uint64, now time.Time) (Member, error) {
	switch {
	case epoch != m.Epoch:
		return m, fmt.Errorf("cell %s: its epoch is %d, not %d: name the epoch that `cell list` shows", m.Name, m.Epoch, epoch)
	case m.Standing != StandingLost && m.Standing != StandingRemoved:
		return m, fmt.Errorf("cell %s: it is %s; only a cell that is lost can be forgotten", m.Name, m.Standing)
	}
	m.FencedEpoch, m.Standing, m.Since, m.InventoryExchanged = epoch, StandingRemoved, now, false
	return m, nil
}

// WaitingFor says what a member that exchanges no work waits for.
func (m Member) WaitingFor(now time.Time) string {
	switch m.Standing {
	case StandingUnknown:
		return "its first word"
	case StandingSuspected:
		return fmt.Sprintf("its word, or %v more", max(tuning.CellLost-now.Sub(m.Since), 0).Round(time.Second))
	case StandingLost:
		return "its word, or `cell forget`"
	case StandingReturning:
		if !m.InventoryExchanged {
			return "the inventories of both sides"
		}
		return fmt.Sprintf("its probation to be over in %v", max(m.probationPeriod()-now.Sub(m.Since), 0).Round(time.Second))
	case StandingRemoved:
		return "a place in the list, and an epoch above the one forgotten"
	case StandingDraining:
		return "its operators to restore it"
	}
	return ""
}
