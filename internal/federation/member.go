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
	Unknown   Standing = iota // named in the operators' list, never heard
	Joined                    // heard, settled, exchanges work
	Doubted                   // not heard lately: nothing new is given, what is there stays
	Lost                      // not heard for long: what it was about to be given goes elsewhere
	Draining                  // takes nothing new and sends home what it has, by its operators' word
	Returning                 // heard again, or under a new epoch: settles before it exchanges work
	Left                      // no longer named, or forgotten: its words count for nothing
)

// Standings lists all.
var Standings = []Standing{Unknown, Joined, Doubted, Lost, Draining, Returning, Left}

// String is the standing's word in logs, metrics and pages.
func (s Standing) String() string {
	return [...]string{"unknown", "joined", "doubted", "lost", "draining", "returning", "left"}[s]
}

// Member is what a cell keeps of another one, in a durable record that its leader changes. The
// standing decides what is offered and where work goes; it is a view, and never proves that
// anything has ended.
type Member struct {
	Name     string
	Epoch    uint64 // the highest heard of it
	Standing Standing
	Since    time.Time // of the standing
	Returns  int       // that are not forgiven yet
	Settled  bool      // its inventory of this epoch is in, and ours with it
	Fenced   uint64    // epochs up to this one were forgotten by an operator
}

// Heard is what is known of a member now.
type Heard struct {
	Named    bool      // in the operators' list
	At       time.Time // when any of our nodes last heard it; zero if never
	Epoch    uint64    // that it spoke under then
	Draining bool      // by its operators' word
	Settled  bool      // inventories under this epoch were exchanged
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
func (m Member) Step(now time.Time, h Heard) Member {
	fresh := !h.At.IsZero() && now.Sub(h.At) < tuning.CellDoubt
	gone := h.At.IsZero() || now.Sub(h.At) >= tuning.CellLost
	counts := h.Named && h.Epoch > m.Fenced
	enter := func(s Standing) {
		m.Standing, m.Since = s, now
	}
	if m.Returns > 0 && m.Standing == Joined && now.Sub(m.Since) >= tuning.ProbationForgive {
		m.Returns--
		m.Since = now
	}
	switch {
	case !h.Named || m.Fenced > 0 && m.Epoch <= m.Fenced && !(fresh && counts):
		if m.Standing != Left {
			enter(Left)
		}
		return m
	case fresh && counts && h.Epoch > m.Epoch:
		known := m.Epoch > 0
		m.Epoch, m.Settled = h.Epoch, false
		if known {
			m.Returns = min(m.Returns+1, tuning.ProbationReturns)
		}
		enter(Returning)
		return m
	}
	m.Settled = m.Settled || fresh && h.Epoch == m.Epoch && h.Settled
	open := Joined
	if h.Draining {
		open = Draining
	}
	switch m.Standing {
	case Left, Lost, Unknown:
		if fresh && counts {
			if m.Standing == Lost {
				m.Returns = min(m.Returns+1, tuning.ProbationReturns)
			}
			enter(Returning)
		}
	case Joined, Draining:
		switch {
		case !fresh:
			enter(Doubted)
		case m.Standing != open:
			enter(open)
		}
	case Doubted:
		switch {
		case fresh && m.Settled:
			enter(open)
		case fresh:
			enter(Returning)
		case gone:
			enter(Lost)
		}
	case Returning:
		switch {
		case !fresh:
			enter(Doubted)
		case m.Settled && now.Sub(m.Since) >= m.probation():
			enter(open)
		}
	}
	return m
}

// probation is how long a member that returned is watched before it exchanges work again.
func (m Member) probation() time.Duration { return tuning.CellProbation << max(m.Returns-1, 0) }

// Takes tells whether work may be offered to it.
func (m Member) Takes() bool { return m.Standing == Joined }

// Forget is an operator's word that a cell is gone for good, under the epoch named: what is
// away there may be taken back. It is refused for another epoch than the one known, and while
// the cell is or may soon be heard.
func (m Member) Forget(epoch uint64, now time.Time) (Member, error) {
	switch {
	case epoch != m.Epoch:
		return m, fmt.Errorf("cell %s: its epoch is %d, not %d: name the epoch that `cell list` shows", m.Name, m.Epoch, epoch)
	case m.Standing != Lost && m.Standing != Left:
		return m, fmt.Errorf("cell %s: it is %s; only a cell that is lost can be forgotten", m.Name, m.Standing)
	}
	m.Fenced, m.Standing, m.Since, m.Settled = epoch, Left, now, false
	return m, nil
}

// Waits says what a member that exchanges no work waits for.
func (m Member) Waits(now time.Time) string {
	switch m.Standing {
	case Unknown:
		return "its first word"
	case Doubted:
		return fmt.Sprintf("its word, or %v more", max(tuning.CellLost-now.Sub(m.Since), 0).Round(time.Second))
	case Lost:
		return "its word, or `cell forget`"
	case Returning:
		if !m.Settled {
			return "the inventories of both sides"
		}
		return fmt.Sprintf("its probation to be over in %v", max(m.probation()-now.Sub(m.Since), 0).Round(time.Second))
	case Left:
		return "a place in the list, and an epoch above the one forgotten"
	case Draining:
		return "its operators to restore it"
	}
	return ""
}
