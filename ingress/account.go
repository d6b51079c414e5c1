package ingress

import (
	"context"
	"time"

	"eiderfold/result"
	"eiderfold/route"
)

// Admission is the result of checking a request against its client account's rate limit.
type Admission struct {
	Granted     bool
	Unconfirmed bool          // The limit could not be checked, so the request is refused.
	After       time.Duration // Retry-after of a refused request.
}

// Limits enforces the rate limits of client accounts.
type Limits interface {
	// Take counts a request against the account's limit, unless the account is over it.
	Take(ctx context.Context, a *route.Account) Admission
	// Return undoes Take for a request that has not run and never will.
	Return(a *route.Account)
}

// noLimits admits every request.
type noLimits struct{}

func (noLimits) Take(context.Context, *route.Account) Admission { return Admission{Granted: true} }
func (noLimits) Return(*route.Account)                          {}

// WithLimits sets the limiter of client accounts. The default admits every request.
func WithLimits(l Limits) Option {
	return func(to *Forwarder) { to.limits = l }
}

// identify returns the client account of a request, nil if it has none. A nested request
// may come without a key, and an open route accepts requests without a key or with an
// unknown one. A known key always selects its account.
func identify(table *route.Table, matched *route.Route, key string, isNested bool) (*route.Account, *Response) {
	if !table.HasAccounts() {
		return nil, nil
	}
	if account, ok := table.AccountOf(key); ok {
		return account, nil
	}
	if matched.Open || isNested && key == "" {
		return nil, nil
	}
	return nil, refusal(result.New(result.UnknownKey, ""))
}

// admit refuses a request whose account is over its limit, before any gate is asked for a
// slot.
func (f *Forwarder) admit(ctx context.Context, req *inFlightRequest) *Response {
	if req.account == nil || !req.account.Limited() {
		return nil
	}
	a := f.limits.Take(ctx, req.account)
	switch {
	case a.Granted:
		return nil
	case a.Unconfirmed:
		f.count("limit_unconfirmed")
		return refusal(result.New(result.LimitUnconfirmed, req.account.Name).WithRetryAfter(a.After.Round(time.Millisecond)))
	default:
		f.count("limit_over")
		return refusal(result.New(result.OverLimit, req.account.Name).WithRetryAfter(a.After.Round(time.Millisecond)))
	}
}

// returnUnused gives a request that has not run back to its account's limit.
func (f *Forwarder) returnUnused(req *inFlightRequest) {
	if req.account != nil && req.account.Limited() && req.runs == 0 {
		f.limits.Return(req.account)
	}
}

// accountName returns the name of the request's account, "" without one.
func (f *inFlightRequest) accountName() string {
	if f.account == nil {
		return ""
	}
	return f.account.Name
}
