package quota

import "time"

// request handles a request of the account.
func (n *modelNode) request() {
	if !n.alive {
		return
	}
	arrivedAt := n.now
	tally := &n.reachedTally
	if n.isolated {
		tally = &n.isolatedTally
	}
	tally.asked++
	n.decideRequest(0, func(granted, _ bool, _ time.Duration) {
		if granted {
			n.admitted = append(n.admitted, admission{arrivedAt: arrivedAt, admittedAt: n.now})
			return
		}
		tally.refused++
	})
}

// decideRequest obtains the decision on a request, as package mesh does.
func (n *modelNode) decideRequest(hops int, decide func(granted, unknown bool, after time.Duration)) {
	r := &modelRequest{arrivedAt: n.now, hops: hops, decide: decide}
	n.locate(r, n.life, func() {
		n.number++
		number := n.number
		n.waiting[number] = r
		n.do(n.limiter.Update(TokenWanted{At: n.time(), Number: number, Account: modelAccount, Limit: n.limit, Home: r.location.Via}))
		n.awaitAnswer(number, n.life)
	})
}

// locate waits until it is determined how the home is reached, and calls next.
func (n *modelNode) locate(r *modelRequest, life int, next func()) {
	if n.life != life || !n.alive {
		return
	}
	r.location = n.homes.Of(modelAccount, n.time())
	if !r.location.Pending {
		next()
		return
	}
	if n.now >= r.arrivedAt+modelTotalTimeout {
		r.location = Location{}
		next()
		return
	}
	n.after(modelPoll, func() { n.locate(r, life, next) })
}

// awaitAnswer asks again elsewhere if a home does not answer in time.
func (n *modelNode) awaitAnswer(number uint64, life int) {
	if n.waiting[number] == nil {
		return
	}
	n.after(modelAskTimeout, func() {
		r := n.waiting[number]
		if n.life != life || !n.alive || r == nil {
			return
		}
		n.homes.Unanswered(r.location, n.time())
		if n.now >= r.arrivedAt+modelTotalTimeout {
			r.location = Location{}
			n.askAgain(number, r, life)
			return
		}
		n.locate(r, life, func() { n.askAgain(number, r, life) })
	})
}

func (n *modelNode) askAgain(number uint64, r *modelRequest, life int) {
	if n.waiting[number] == nil {
		return
	}
	delete(n.waiting, number)
	n.number++
	next := n.number
	n.waiting[next] = r
	n.do(n.limiter.Update(Unanswered{At: n.time(), Number: number, Next: next, Home: r.location.Via}))
	n.awaitAnswer(next, life)
}

// do executes commands.
func (n *modelNode) do(commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case Admit:
			n.decide(c.Number, true, false, 0)
		case Refuse:
			n.decide(c.Number, c.Unconfirmed && n.fault == faultUnlimitedLocal, c.Unconfirmed, c.RetryAfter)
		case RequestToken:
			n.requestToken(c)
		case Report:
			n.report(c)
		case Claim:
			n.claim(c.Account)
		case Answer:
			n.noteGrant(c)
			n.sendAnswer(c)
		}
	}
	if n.limiter.Dirty() && !n.flushed {
		n.flushed = true
		life := n.life
		n.after(modelFlushDelay, func() {
			if n.life == life && n.alive {
				n.flushed = false
				n.do(n.limiter.Update(FlushDue{At: n.time()}))
			}
		})
	}
}

// noteGrant counts the tokens that a home grants.
func (n *modelNode) noteGrant(c Answer) {
	if !c.Granted {
		return
	}
	second := int(n.now / time.Second)
	if n.granted[second] == nil {
		n.granted[second] = map[int]int{}
	}
	n.granted[second][n.id]++
}

func (n *modelNode) decide(number uint64, granted, unknown bool, after time.Duration) {
	if r := n.waiting[number]; r != nil {
		delete(n.waiting, number)
		r.decide(granted, unknown, after)
	}
}

// sendTo is like send, but also delivers to the node itself.
func (n *modelNode) sendTo(to string, do func(*modelNode)) {
	if to == n.Self() {
		do(n)
		return
	}
	n.send(idOf(to), do)
}

func (n *modelNode) requestToken(c RequestToken) {
	hops := 0
	if r := n.waiting[c.Number]; r != nil {
		hops = r.hops
	}
	n.sendTo(c.To, func(to *modelNode) { to.tokenRequested(n.Self(), c, hops) })
}

// tokenRequested answers a RequestToken, or forwards it to the home.
func (n *modelNode) tokenRequested(from string, c RequestToken, hops int) {
	location := n.homes.Of(modelAccount, n.time())
	switch {
	case location.Home == n.Self():
		n.do(n.home.Update(TokenRequested{At: n.time(), From: from, Number: c.Number, Account: c.Account, Limit: n.limit, Spent: c.Spent, Acting: location.Acting}))
	case hops >= 2:
		n.sendTo(from, func(to *modelNode) {
			to.do(to.limiter.Update(Answered{At: to.time(), Number: c.Number, Unknown: true}))
		})
	default:
		n.do(n.limiter.Update(Misdirected{At: n.time(), Account: c.Account, Limit: n.limit, Count: c.Spent}))
		n.decideRequest(hops+1, func(granted, unknown bool, after time.Duration) {
			n.sendTo(from, func(to *modelNode) {
				to.do(to.limiter.Update(Answered{At: to.time(), Number: c.Number, Granted: granted, Unknown: unknown, RetryAfter: after}))
			})
		})
	}
}

func (n *modelNode) sendAnswer(c Answer) {
	n.sendTo(c.To, func(to *modelNode) {
		to.do(to.limiter.Update(Answered{At: to.time(), Number: c.Number, Granted: c.Granted, RetryAfter: c.RetryAfter}))
	})
}

// claim notifies the successors that this node is the home.
func (n *modelNode) claim(account string) {
	if n.fault == faultNoClaim {
		return
	}
	for _, successor := range n.homes.Successors(account, n.time()) {
		n.send(idOf(successor), n.claimed)
	}
}

// claimed delivers this node's claim to another node.
func (n *modelNode) claimed(to *modelNode) {
	if n.id == to.newcomer && !to.metNewcomer {
		to.metNewcomer = true
		to.change()
	}
	to.homes.Claimed(n.Self(), to.time())
}

func (n *modelNode) report(c Report) {
	n.sendTo(c.To, func(to *modelNode) {
		if location := to.homes.Of(modelAccount, to.time()); location.Home == to.Self() {
			to.do(to.home.Update(Reported{At: to.time(), Account: c.Account, Limit: to.limit, Count: c.Count, Acting: location.Acting}))
			return
		}
		to.do(to.limiter.Update(Misdirected{At: to.time(), Account: c.Account, Limit: to.limit, Count: c.Count}))
	})
}
