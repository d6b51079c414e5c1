package mesh

import (
	"context"
	"time"

	"eiderfold/ingress"
	"eiderfold/quota"
	"eiderfold/route"
)

const (
	// limitAskTimeout is how long a home may take to answer: well above a round trip
	// between data centres, 3 ms, plus scheduling delays on a slow machine.
	limitAskTimeout = 50 * time.Millisecond
	// limitTimeout is how long a request waits for a home in total: once for a home that
	// does not answer, for probes, and for the home that is found then.
	limitTimeout = 180 * time.Millisecond
	// limitPoll is the interval of checks for a home that is being dialed or probed for.
	limitPoll = 2 * time.Millisecond
)

// Take implements ingress.Limits.
func (l *limits) Take(ctx context.Context, a *route.Account) ingress.Admission {
	return l.take(ctx, a, 0)
}

// take is Take for a request that was forwarded hops times.
func (l *limits) take(ctx context.Context, a *route.Account, hops int) ingress.Admission {
	until := time.Now().Add(limitTimeout)
	number, answer := l.start(ctx, a, hops, until)
	for {
		select {
		case decided := <-answer:
			return decided
		default:
		}
		timer := time.NewTimer(limitAskTimeout)
		select {
		case decided := <-answer:
			timer.Stop()
			return decided
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			until = time.Now()
		}
		number = l.retry(ctx, number, a, until)
	}
}

// start submits a request for a decision once its account's home is known.
func (l *limits) start(ctx context.Context, a *route.Account, hops int, until time.Time) (uint64, chan ingress.Admission) {
	at := l.awaitHome(ctx, a.Name, until)
	now := time.Now()
	nodes := l.node.links.fleetSize()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setNodes(nodes)
	l.number++
	answer := make(chan ingress.Admission, 1)
	l.pending[l.number] = pendingRequest{answer: answer, location: at, hops: hops}
	l.execute(l.limiter.Update(quota.TokenWanted{At: now, Number: l.number, Account: a.Name, Limit: limitOf(a), Home: at.Via}), now)
	return l.number, answer
}

// retry asks another node after a home did not answer, or has the request decided without a
// home once the time is up. It returns the request's new number.
func (l *limits) retry(ctx context.Context, number uint64, a *route.Account, until time.Time) uint64 {
	l.mu.Lock()
	w, ok := l.pending[number]
	if ok {
		l.node.metrics.Count("limit_unanswered")
		l.homes.Unanswered(w.location, time.Now())
	}
	l.mu.Unlock()
	if !ok {
		return number
	}
	var at quota.Location
	if time.Now().Before(until) {
		at = l.awaitHome(ctx, a.Name, until)
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.pending[number]; !ok {
		return number
	}
	delete(l.pending, number)
	l.number++
	l.pending[l.number] = pendingRequest{answer: w.answer, location: at, hops: w.hops}
	l.execute(l.limiter.Update(quota.Unanswered{At: now, Number: number, Next: l.number, Home: at.Via}), now)
	return l.number
}

// awaitHome waits until it is known how an account's home is reached.
func (l *limits) awaitHome(ctx context.Context, account string, until time.Time) quota.Location {
	for {
		now := time.Now()
		l.mu.Lock()
		at := l.homes.Of(account, now)
		l.mu.Unlock()
		if !at.Pending {
			return at
		}
		if !now.Before(until) || ctx.Err() != nil {
			return quota.Location{}
		}
		time.Sleep(limitPoll)
	}
}

// Return implements ingress.Limits.
func (l *limits) Return(a *route.Account) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.execute(l.limiter.Update(quota.Returned{At: now, Account: a.Name}), now)
}
