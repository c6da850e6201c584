package membership

import "sableusher/internal/tuning"

// TokenRange is the range of fencing tokens of one ownership of a shard. The shard's record has the first of them. The
// owner may raise the token of its messages to a single agent within the range, without a change of the record. The
// next ownership begins above the range.
//
// Below tuning.TokenRangeBase a range has a single token, as it did before tuning.SchemaVersionTokenRanges.
type TokenRange struct{ First, Last uint64 }

// TokenRangeOf returns the range that a fencing token belongs to.
func TokenRangeOf(fencingToken uint64) TokenRange {
	if fencingToken < tuning.TokenRangeBase {
		return TokenRange{fencingToken, fencingToken}
	}
	first := fencingToken - fencingToken%tuning.TokensPerOwnership
	return TokenRange{first, first + tuning.TokensPerOwnership - 1}
}

// Contains reports whether a token belongs to the range.
func (r TokenRange) Contains(fencingToken uint64) bool {
	return r.First <= fencingToken && fencingToken <= r.Last
}
