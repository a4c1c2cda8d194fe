package memory

import "time"

// Claim is a request for memory that a body or a response needs until its request ends.
type Claim struct {
	Bytes int64
	// Own is the part of the held bytes that the same body has already. It is returned once the claim is granted.
	Own int64
	// Rank is the rank of the request; 0 is the most urgent.
	Rank int64
	// TimeLeft is the time until the request's deadline, for which the memory may be held.
	TimeLeft time.Duration
}

// Usage is the state of a budget, in bytes.
type Usage struct {
	Limit, Held int64
	// Bodies is the part of Held that bodies of requests and responses hold.
	Bodies int64
}

// Shares of the limit, as divisors, that a claim leaves to others.
const (
	// headShare is left to heads and connections by every body, so that requests without a body are still served.
	headShare = 16
	// rankShare is left to each more urgent rank, for at most maxRanks of them.
	rankShare = 16
	maxRanks  = 4
	// workShare is left by a claim of much work: one that takes over a largeShare of the limit, or holds its memory for longer than longTime.
	workShare  = 8
	largeShare = 8
	longTime   = 3 * time.Second
)

// Admits reports whether a budget grants a claim. A claim that is less urgent, larger, or may hold its memory for longer leaves more of the limit
// to others, so that it is refused first as memory gets short. A claim that meets no other body gets all that is free: a single request inside
// the limits is served if there is no other load.
//
// The load pattern: clients of several hosts upload long bodies to one slow server, together with short urgent requests to the same host.
func Admits(u Usage, c Claim) bool {
	left := int64(0)
	if u.Bodies > c.Own {
		left = u.Limit/headShare + min(max(c.Rank, 0), maxRanks)*u.Limit/rankShare
		if c.Bytes > u.Limit/largeShare {
			left += u.Limit / workShare
		}
		if c.TimeLeft > longTime {
			left += u.Limit / workShare
		}
	}
	return u.Held+c.Bytes <= u.Limit-left
}
