package ingress

import (
	"context"
	"time"

	"eiderfold/result"
	"eiderfold/route"
)

// Admission is whether a client account's limit has room for a request.
type Admission struct {
	Granted     bool
	Unconfirmed bool          // Nobody could say, and it is refused to be safe.
	After       time.Duration // When to come back, where it is refused.
}

// Limits keeps client accounts within their limits.
type Limits interface {
	// Take counts a request of an account, unless the account is over its limit.
	Take(ctx context.Context, a *route.Account) Admission
	// Return gives back what was taken for a request that has not run and never will.
	Return(a *route.Account)
}

// noLimits grants everything.
type noLimits struct{}

func (noLimits) Take(context.Context, *route.Account) Admission { return Admission{Granted: true} }
func (noLimits) Return(*route.Account)                          {}

// WithLimits tells who keeps the limits of client accounts.
func WithLimits(l Limits) Option {
	return func(to *Forwarder) { to.limits = l }
}

// identify finds the client account for which a request is made, nil without one. An
// upstream's call on behalf of a request shows no key. A route that is open to all needs
// none; one that is shown there counts as anywhere else if it is known.
func identify(table *route.Table, matched *route.Route, key string, isCall bool) (*route.Account, *Response) {
	if !table.HasAccounts() {
		return nil, nil
	}
	if account, ok := table.AccountOf(key); ok {
		return account, nil
	}
	if matched.Open || isCall && key == "" {
		return nil, nil
	}
	return nil, refusal(result.New(result.UnknownKey, ""))
}

// admit refuses a request whose account is over its limit, before anything else is spent
// on it.
func (f *Forwarder) admit(ctx context.Context, fl *flight) *Response {
	if fl.account == nil || !fl.account.Limited() {
		return nil
	}
	a := f.limits.Take(ctx, fl.account)
	switch {
	case a.Granted:
		return nil
	case a.Unconfirmed:
		f.count("limit_unconfirmed")
		return refusal(result.New(result.LimitUnconfirmed, fl.account.Name).WithRetryAfter(a.After.Round(time.Millisecond)))
	default:
		f.count("limit_over")
		return refusal(result.New(result.OverLimit, fl.account.Name).WithRetryAfter(a.After.Round(time.Millisecond)))
	}
}

// giveBack returns to the account's limit what a request took that has not run.
func (f *Forwarder) giveBack(fl *flight) {
	if fl.account != nil && fl.account.Limited() && fl.runs == 0 {
		f.limits.Return(fl.account)
	}
}

// accountName is the name of the request's account, "" without one.
func (f *flight) accountName() string {
	if f.account == nil {
		return ""
	}
	return f.account.Name
}
