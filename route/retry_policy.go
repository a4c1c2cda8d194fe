package route

import (
	"time"

	"github.com/jaypitch/jaypitch"
)

// RetryBudget bounds further attempts to a share of the calls, so that retries can't multiply a load. It
// isn't safe for concurrent use.
type RetryBudget struct {
	tokens float64
}

// RetryPolicy decides about the attempts of one call.
type RetryPolicy struct {
	Idempotent bool
	Deadline   time.Time
	// Retries is how many further attempts the chain of calls may still make.
	Retries int

	redirects int
}

const (
	// retryShare is the number of further attempts earned by each call.
	retryShare = 0.1
	// maxTokens is what a quiet time saves up.
	maxTokens = 10
	// maxRedirects bounds the attempts that were refused for a reason that costs the other host nothing.
	maxRedirects = 3
	// minTimeLeft is the least time left for which another attempt is made.
	minTimeLeft = time.Millisecond
)

// NewRetryBudget makes a budget as a quiet time leaves it.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: maxTokens}
}

// RecordRequest earns a part of a further attempt.
func (b *RetryBudget) RecordRequest() {
	b.tokens = min(maxTokens, b.tokens+retryShare)
}

// Spend takes one further attempt; it returns false if the budget is spent.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ShouldRetry says whether a call whose attempt ended with a code is tried at another host. Work that isn't
// idempotent is tried again only if it is certain that it did not run.
func (p *RetryPolicy) ShouldRetry(c jaypitch.Code, b *RetryBudget, now time.Time) bool {
	ran := c.Info().Execution
	if c == jaypitch.CodeOK || final(c) || ran == jaypitch.Executed {
		return false
	}
	if !p.Idempotent && ran != jaypitch.NotExecuted {
		return false
	}
	if p.Deadline.Sub(now) < minTimeLeft {
		return false
	}
	if redirect(c) {
		p.redirects++
		return p.redirects <= maxRedirects
	}
	if p.Retries <= 0 || !b.Spend() {
		return false
	}
	p.Retries--
	return true
}

// final codes would be the same at every host.
func final(c jaypitch.Code) bool {
	switch c {
	case jaypitch.CodeNoRoute, jaypitch.CodeNoCustomer, jaypitch.CodeRouteWithdrawn, jaypitch.CodeDeadline, jaypitch.CodeBodyTooLarge,
		jaypitch.CodeBodyCut, jaypitch.CodeBadToken, jaypitch.CodeBadRequest, jaypitch.CodeTokenNotRun, jaypitch.CodeStaleSender:
		return true
	}
	return false
}

// redirect codes are refusals that cost the other host next to nothing, and say to go elsewhere.
func redirect(c jaypitch.Code) bool {
	switch c {
	case jaypitch.CodeOtherProcess, jaypitch.CodeStopping, jaypitch.CodeUnconfirmed, jaypitch.CodeUnreachable, jaypitch.CodeNotThisHost,
		jaypitch.CodeStaleReceiver:
		return true
	}
	return false
}
