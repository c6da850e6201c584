package simulation

import (
	"fmt"
	"strings"

	"sableusher/internal/wire"
)

// Rule is a rule that the checker verifies.
type Rule int

// Rules. The comment of each describes an event that violates it.
const (
	RuleRanTwice                    Rule = iota // a task runs on two machines at once
	RuleRanAfterCancellation                    // a task runs after the cancellation of its job was confirmed
	RuleWrongPlace                              // a task runs where its job's spec doesn't allow it
	RuleStartedBeforeDependency                 // a task starts before a dependency of its job is done
	RuleTeamLimit                               // a team uses more than its limit
	RuleRetries                                 // controllers acknowledged more failures than the retry limit allows
	RuleUnsubmittedJob                          // a job that was never submitted is accepted or runs
	RuleInvalidJobAccepted                      // a job that must be rejected is accepted
	RuleIncompleteJobDone                       // a job is reported done before all its tasks have completed
	RuleFailedWithRetriesLeft                   // a job is reported failed while it has retries left
	RuleInvalidTransition                       // a job is reported to leave a final state or cancelled without cause
	RuleAcceptedJobLost                         // an accepted job is reported unknown, or its queries get no response
	RuleOutlivedCancelledDependency             // a job is reported unfinished long after a dependency was cancelled
	RuleStartableJobWaits                       // a job waits although capacity for it is available
	RuleMinimumShare                            // too few jobs of a class or team are served, or its largest start late
	RuleProtocol                                // a message violates its protocol
)

// ruleNames are the names of the rules. Rules of the operators' documentation have the same names there.
var ruleNames = [...]string{
	RuleRanTwice:                    "ran_twice",
	RuleRanAfterCancellation:        "ran_cancelled",
	RuleWrongPlace:                  "wrong_place",
	RuleStartedBeforeDependency:     "too_early",
	RuleTeamLimit:                   "quota",
	RuleRetries:                     "repeats",
	RuleUnsubmittedJob:              "invented",
	RuleInvalidJobAccepted:          "accepted",
	RuleIncompleteJobDone:           "not_done",
	RuleFailedWithRetriesLeft:       "failed",
	RuleInvalidTransition:           "went_back",
	RuleAcceptedJobLost:             "forgotten",
	RuleOutlivedCancelledDependency: "orphaned",
	RuleStartableJobWaits:           "left",
	RuleMinimumShare:                "floor",
	RuleProtocol:                    "protocol",
}

// String returns the name of the rule.
func (r Rule) String() string { return ruleNames[r] }

// Violation is the violation of a rule, with a description of the event.
type Violation struct {
	Rule   Rule
	Detail string
}

// String returns the name of the rule and the description.
func (v Violation) String() string { return v.Rule.String() + ": " + v.Detail }

// Violations is a list of violations in the order of their detection.
type Violations []Violation

// String returns the violations, one per line.
func (v Violations) String() string {
	lines := make([]string, len(v))
	for i, violation := range v {
		lines[i] = violation.String()
	}
	return strings.Join(lines, "\n")
}

// Has reports whether the list contains a violation of the rule.
func (v Violations) Has(rule Rule) bool {
	for _, violation := range v {
		if violation.Rule == rule {
			return true
		}
	}
	return false
}

// Observation is a situation that a fault is meant to produce. Tests of the fault check that it occurred.
type Observation int

// Observations. Each constant names a situation whose occurrences the checker counts.
const (
	ObservedFastBoot Observation = iota
	ObservedArrayLeaseExpiry
	ObservedGangLeaseExpiry
	ObservedServiceLeaseExpiry
	ObservedLeaderChange
	ObservedLeaderChangeAtTeamLimit
	ObservedHeartbeatCopy
	ObservedCopyBeforeLiveHeartbeat
	ObservedLateWrite
	ObservedUnconfirmedWriteRead
	ObservedCancelAtCompletion
	ObservedCancelWhileRunning
	ObservedCancelOnOwnerChange
	ObservedCancelOfDoneJob
	ObservedProbe
	ObservedProbeAnswered
	ObservedInvalidRequestRefused
	ObservedShortJob
	ObservedCommandCopy
	ObservedStartCopyAfterForget
	ObservedForgottenAttemptStarted
)

var observationNames = [...]string{
	ObservedFastBoot:                "machine up within two seconds",
	ObservedArrayLeaseExpiry:        "array task ended by lease expiry",
	ObservedGangLeaseExpiry:         "gang task ended by lease expiry",
	ObservedServiceLeaseExpiry:      "service task ended by lease expiry",
	ObservedLeaderChange:            "change of leader",
	ObservedLeaderChangeAtTeamLimit: "change of leader while a team is at its limit",
	ObservedHeartbeatCopy:           "heartbeat copy",
	ObservedCopyBeforeLiveHeartbeat: "heartbeat copy before a live heartbeat",
	ObservedLateWrite:               "late write",
	ObservedUnconfirmedWriteRead:    "write with a lost answer read by another controller",
	ObservedCancelAtCompletion:      "cancellation at completion",
	ObservedCancelWhileRunning:      "cancellation while running",
	ObservedCancelOnOwnerChange:     "cancellations at a change of owner",
	ObservedCancelOfDoneJob:         "cancellation after the end",
	ObservedProbe:                   "probe of all controllers",
	ObservedProbeAnswered:           "probe answered",
	ObservedInvalidRequestRefused:   "invalid request refused",
	ObservedShortJob:                "short job",
	ObservedCommandCopy:             "copy of an answered direct command",
	ObservedStartCopyAfterForget:    "copy of a start after its attempt was forgotten",
	ObservedForgottenAttemptStarted: "forgotten attempt started again",
}

// String returns a description of the observation.
func (o Observation) String() string { return observationNames[o] }

// leaseExpiryObservation returns the observation that a lease expiry stopped a task of a job of the given kind.
func leaseExpiryObservation(kind wire.JobKind) Observation {
	switch kind {
	case wire.KindArray:
		return ObservedArrayLeaseExpiry
	case wire.KindGang:
		return ObservedGangLeaseExpiry
	case wire.KindService:
		return ObservedServiceLeaseExpiry
	default:
		panic(fmt.Sprintf("unknown kind of job: %s", kind))
	}
}
