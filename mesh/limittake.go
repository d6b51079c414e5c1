package mesh

import (
	"context"
	"time"

	"eiderfold/ingress"
	"eiderfold/quota"
	"eiderfold/route"
)

const (
	// limitAskTime is how long a home may take to answer: far over a round trip between
	// data centres, 3 ms, and a node's turns at a slow processor.
	limitAskTime = 50 * time.Millisecond
	// limitTime is how long a request waits for the word of a home in all: once for one
	// that does not answer, for probes, and for the home that is found then.
	limitTime = 180 * time.Millisecond
	// limitPoll is the pace at which a home is looked for that is being dialed or probed for.
	limitPoll = 2 * time.Millisecond
)

// Take implements ingress.Limits.
func (l *limits) Take(ctx context.Context, a *route.Account) ingress.Admission {
	return l.take(ctx, a, 0)
}

// take is Take for a request that so many nodes have passed on.
func (l *limits) take(ctx context.Context, a *route.Account, hops int) ingress.Admission {
	until := time.Now().Add(limitTime)
	number, answer := l.begin(ctx, a, hops, until)
	for {
		select {
		case decided := <-answer:
			return decided
		default:
		}
		timer := time.NewTimer(limitAskTime)
		select {
		case decided := <-answer:
			timer.Stop()
			return decided
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			until = time.Now()
		}
		number = l.again(ctx, number, a, until)
	}
}

// begin has a request decided, once it is known how its account's home is reached.
func (l *limits) begin(ctx context.Context, a *route.Account, hops int, until time.Time) (uint64, chan ingress.Admission) {
	at := l.awaitHome(ctx, a.Name, until)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	answer := make(chan ingress.Admission, 1)
	l.waiting[l.number] = waiting{answer: answer, place: at, hops: hops}
	l.do(l.spender.Update(quota.Wanted{At: now, Number: l.number, Account: a.Name, Limit: limitOf(a), Home: at.Way}), now)
	return l.number, answer
}

// again asks another node after a home was asked in vain, or has the request decided
// without its home once there is no time left. It returns the request's new number.
func (l *limits) again(ctx context.Context, number uint64, a *route.Account, until time.Time) uint64 {
	l.mu.Lock()
	w, ok := l.waiting[number]
	if ok {
		l.node.metrics.Count("limit_unanswered")
		l.homes.Unanswered(w.place, time.Now())
	}
	l.mu.Unlock()
	if !ok {
		return number
	}
	var at quota.Place
	if time.Now().Before(until) {
		at = l.awaitHome(ctx, a.Name, until)
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.waiting[number]; !ok {
		return number
	}
	delete(l.waiting, number)
	l.number++
	l.waiting[l.number] = waiting{answer: w.answer, place: at, hops: w.hops}
	l.do(l.spender.Update(quota.Unanswered{At: now, Number: number, Next: l.number, Home: at.Way}), now)
	return l.number
}

// awaitHome waits until it is known how an account's home is reached.
func (l *limits) awaitHome(ctx context.Context, account string, until time.Time) quota.Place {
	for {
		now := time.Now()
		l.mu.Lock()
		at := l.homes.Of(account, now)
		l.mu.Unlock()
		if !at.Pending {
			return at
		}
		if !now.Before(until) || ctx.Err() != nil {
			return quota.Place{}
		}
		time.Sleep(limitPoll)
	}
}

// Return implements ingress.Limits.
func (l *limits) Return(a *route.Account) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.do(l.spender.Update(quota.Returned{At: now, Account: a.Name}), now)
}
