package route

import (
	"time"

	"github.com/jaypitch/jaypitch"
)

// RetryBudget is a token bucket that bounds retries to a share of the requests, so that retries can't multiply the load. It isn't
// safe for concurrent use.
type RetryBudget struct {
	tokens float64
}

// RetryPolicy decides about the retries of one request.
type RetryPolicy struct {
	Idempotent bool
	Deadline   time.Time
	// Retries is how many retries the chain of requests may still make.
	Retries int

	transparentRetries int
}

const (
	// retriesPerRequest is the number of tokens that each request adds; a retry takes one token.
	retriesPerRequest = 0.1
	// maxTokens bounds the tokens that collect while there are few retries.
	maxTokens = 10
	// maxTransparentRetries bounds the retries that don't count against the budget, after refusals that cost the receiver next to nothing.
	maxTransparentRetries = 3
	// minTimeLeft is the least time before the deadline at which a retry is made.
	minTimeLeft = time.Millisecond
)

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: maxTokens}
}

// RecordRequest adds the tokens of one request.
func (b *RetryBudget) RecordRequest() {
	b.tokens = min(maxTokens, b.tokens+retriesPerRequest)
}

// Spend takes the token of one retry. It reports whether there was one.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ShouldRetry reports whether a request whose attempt ended with a code is retried at another host, and takes the retry from the
// budget. A request that isn't idempotent is retried only if it is certain that it was not executed.
func (p *RetryPolicy) ShouldRetry(c jaypitch.Code, b *RetryBudget, now time.Time) bool {
	execution := c.Info().Execution
	if c == jaypitch.CodeOK || isFinal(c) || execution == jaypitch.Executed {
		return false
	}
	if !p.Idempotent && execution != jaypitch.NotExecuted {
		return false
	}
	if p.Deadline.Sub(now) < minTimeLeft {
		return false
	}
	if isTransparent(c) {
		p.transparentRetries++
		return p.transparentRetries <= maxTransparentRetries
	}
	if p.Retries <= 0 || !b.Spend() {
		return false
	}
	p.Retries--
	return true
}

// isFinal reports whether every host would return the same code.
func isFinal(c jaypitch.Code) bool {
	switch c {
	case jaypitch.CodeNoRoute, jaypitch.CodeNoCustomer, jaypitch.CodeRouteWithdrawn, jaypitch.CodeDeadline, jaypitch.CodeBodyTooLarge,
		jaypitch.CodeBodyCut, jaypitch.CodeBadToken, jaypitch.CodeBadRequest, jaypitch.CodeTokenNotRun, jaypitch.CodeStaleSender:
		return true
	}
	return false
}

// isTransparent reports whether a code is a refusal that costs the receiver next to nothing and whose cause may concern that host
// alone. Its retry is transparent: it doesn't count against the budget.
func isTransparent(c jaypitch.Code) bool {
	switch c {
	case jaypitch.CodeOtherProcess, jaypitch.CodeStopping, jaypitch.CodeUnconfirmed, jaypitch.CodeUnreachable, jaypitch.CodeNotThisHost,
		jaypitch.CodeStaleReceiver:
		return true
	}
	return false
}
