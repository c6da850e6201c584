package agent

import "sableusher/internal/membership"

// issuedToken is the fencing token of this node's messages to one agent. A direct command that was answered may be
// delivered again for as long as the agent accepts its token. The token is therefore raised before an attempt is
// forgotten that such a command has started (safety invariant 31).
type issuedToken struct {
	current uint64 // of the next message; 0 before the first one
	// lastDirectStart is the token of the last direct command with a start; 0 if there was none. Starts of earlier
	// owners have lower tokens than any message of this one.
	lastDirectStart uint64
}

// adopt sets the token for the next message, given the first token of this node's ownership of the shard and the
// highest token that the agent has reported.
func (t *issuedToken) adopt(ownershipToken, reportedToken uint64) {
	tokens := membership.TokenRangeOf(ownershipToken)
	if !tokens.Contains(t.current) {
		t.current = ownershipToken
	}
	if tokens.Contains(reportedToken) {
		t.current = max(t.current, reportedToken)
	}
}

// fencesStarts reports whether an agent that has received the next message refuses every direct command with a start
// that was sent before it.
func (t *issuedToken) fencesStarts() bool { return t.current > t.lastDirectStart }

// isLast reports whether the ownership has no higher token.
func (t *issuedToken) isLast() bool { return t.current == membership.TokenRangeOf(t.current).Last }

// raise raises the token. It reports false if the ownership has no higher token.
func (t *issuedToken) raise() bool {
	if t.isLast() {
		return false
	}
	t.current++
	return true
}
