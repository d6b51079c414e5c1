package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"eiderfold/core"
	"eiderfold/peer"
	"eiderfold/proxy"
	"eiderfold/result"
)

const (
	claimTimeout    = time.Second
	claimTries      = 2
	inquireTimeout  = time.Second
	inquireInterval = 50 * time.Millisecond
	retryAfter      = time.Second
	maxClaims       = 3 // Per request; each follows a holder that will never start.
)

// operation is a keyed operation that this node may start.
type operation struct {
	group   *Group
	key     core.Key
	attempt uint64
}

// Finish implements proxy.Operation.
func (o *operation) Finish(stage core.Stage, answer *core.Recorded) {
	g := o.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.operations.Update(core.Finish{At: time.Now(), Key: o.key, Attempt: o.attempt, Stage: stage, Answer: answer})
	g.notifyWaiters(o.key)
}

// notifyWaiters wakes the requests that wait for an operation of this node. Call it
// with mu held.
func (g *Group) notifyWaiters(k core.Key) {
	if done := g.finished[k]; done != nil {
		close(done)
		delete(g.finished, k)
	}
}

// Begin claims an operation for this node, or finds its outcome if the key was used
// before. keyCreated is when the key was created, or zero if it does not contain
// its time.
func (g *Group) Begin(ctx context.Context, key core.Key, body uint64, keyCreated time.Time) (proxy.Operation, *core.Recorded, *result.Error) {
	var replaces core.Holder
	for range maxClaims {
		r, isNew := g.begin(key, body)
		if !isNew {
			return g.answerRepeat(ctx, key, body, r)
		}
		if r.Previous != 0 && replaces == (core.Holder{}) {
			replaces = g.holder(r.Previous)
		}
		c := &peer.Claim{Key: key, Body: body, Holder: g.holder(r.Attempt), Replaces: replaces}
		if !keyCreated.IsZero() {
			c.KeyCreated = keyCreated.UnixMilli()
		}
		answer, err := g.claim(ctx, c)
		if err != nil {
			g.abandon(key, r.Attempt)
			return nil, nil, unconfirmed("the coordinator cannot be reached")
		}
		switch answer.Verdict {
		case core.Granted:
			return g.startAttempt(ctx, key, body, r.Attempt, answer)
		case core.OtherBody:
			g.abandon(key, r.Attempt)
			return nil, nil, result.New(result.KeyReused, "the key was used with another request")
		case core.KeyInFuture:
			g.abandon(key, r.Attempt)
			return nil, nil, result.New(result.BadRequest, "the key's time is ahead of ours; set the clock that makes keys")
		case core.Unconfirmed:
			g.abandon(key, r.Attempt)
			return nil, nil, unconfirmed("a new coordinator is still asking the nodes")
		case core.HeldBy:
			g.abandon(key, r.Attempt)
			recorded, free, refused := g.resolveHolder(ctx, key, answer)
			if !free {
				return nil, recorded, refused
			}
			replaces = answer.Holder
		default:
			g.abandon(key, r.Attempt)
			return nil, nil, unconfirmed("there is no coordinator")
		}
	}
	return nil, nil, unconfirmed("others claim the key over and over")
}

// unconfirmed returns the error for a key that cannot be claimed now, since it is
// unknown whether its operation has run.
func unconfirmed(detail string) *result.Error {
	return result.New(result.KeyUnconfirmed, detail).WithRetryAfter(retryAfter)
}

// holder returns the holder for an attempt of this process. Attempts start at 1; 0 stands
// for the process itself.
func (g *Group) holder(attempt uint64) core.Holder {
	return core.Holder{Node: g.node.identity.Node, Incarnation: g.node.identity.Incarnation, Attempt: attempt}
}

// begin starts an attempt in the operation table; isNew is false if the key has an
// entry already.
func (g *Group) begin(key core.Key, body uint64) (r core.Report, isNew bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r = g.operations.Update(core.Begin{At: time.Now(), Key: key, Body: body})
	if r.Accepted && g.finished[key] == nil {
		g.finished[key] = make(chan struct{})
	}
	return r, r.Accepted
}

func (g *Group) abandon(key core.Key, attempt uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.operations.Update(core.Abandon{Key: key, Attempt: attempt})
	g.notifyWaiters(key)
}

// claim sends a claim to the coordinator. Retrying is safe, since the holder stays
// the same.
func (g *Group) claim(ctx context.Context, c *peer.Claim) (core.Answer, error) {
	for try := 0; ; try++ {
		g.mu.Lock()
		leading, address, sinceContact := g.leading(), g.leaderAddress(), time.Since(g.lastContact)
		g.mu.Unlock()
		if leading {
			return *g.answerClaim(g.node.identity, c), nil
		}
		if address == "" || sinceContact > contactTimeout {
			// Fail at once rather than after another timeout.
			return core.Answer{}, errors.New("no contact with the coordinator")
		}
		callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		reply, err := g.node.call(callCtx, address, &peer.Request{Template: g.template, Claim: c})
		cancel()
		if err == nil && reply.Claim != nil {
			return *reply.Claim, nil
		}
		if try+1 >= claimTries || ctx.Err() != nil {
			return core.Answer{}, errors.New("the coordinator does not answer")
		}
	}
}

// startAttempt starts a granted attempt, unless this node has promised a later epoch
// since.
func (g *Group) startAttempt(ctx context.Context, key core.Key, body, attempt uint64, answer core.Answer) (proxy.Operation, *core.Recorded, *result.Error) {
	if !g.ensureWitnessed(ctx, key, body, attempt, answer.Epoch) {
		g.abandon(key, attempt)
		return nil, nil, unconfirmed("no other node can remember the operation")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.operations.Update(core.Permit{Key: key, Attempt: attempt, Epoch: answer.Epoch})
	if !r.Accepted {
		g.notifyWaiters(key)
		return nil, nil, unconfirmed("the coordinator changed meanwhile")
	}
	return &operation{group: g, key: key, attempt: attempt}, nil, nil
}

// ensureWitnessed ensures that two nodes have a record of a grant. A coordinator that
// grants an operation to itself has another node record the grant too.
func (g *Group) ensureWitnessed(ctx context.Context, key core.Key, body, attempt, epoch uint64) bool {
	g.mu.Lock()
	leading := g.leading()
	g.mu.Unlock()
	if !leading {
		return true
	}
	others := g.others()
	if len(others) == 0 {
		return true // A group of one node has no witness; see docs/DESIGN.md.
	}
	held := []core.Held{{Key: key, Body: body, Holder: g.holder(attempt)}}
	return g.replicate(ctx, others, held, epoch)
}

// replicate has one of the other nodes record grants, and reports whether one did.
func (g *Group) replicate(ctx context.Context, others []peer.Member, held []core.Held, epoch uint64) bool {
	w := &peer.Witness{Held: held, Epoch: epoch}
	for _, m := range others {
		callCtx, cancel := context.WithTimeout(ctx, claimTimeout/2)
		reply, err := g.node.call(callCtx, m.Address, &peer.Request{Template: g.template, Witness: w})
		cancel()
		if err == nil && reply.Done {
			return true
		}
	}
	return false
}

// answerRepeat answers a request whose key is already in the operation table, after
// waiting for an operation that is still running.
func (g *Group) answerRepeat(ctx context.Context, key core.Key, body uint64, r core.Report) (proxy.Operation, *core.Recorded, *result.Error) {
	if r.Body != body {
		return nil, nil, result.New(result.KeyReused, "the key was used with another request")
	}
	for r.Stage == core.Claiming || r.Stage == core.Running {
		g.mu.Lock()
		done := g.finished[key]
		r = g.operations.Update(core.Peek{Key: key})
		g.mu.Unlock()
		if done == nil {
			break
		}
		select {
		case <-done:
		case <-ctx.Done():
			return nil, nil, result.New(result.RepeatInProgress, "the first request still runs").WithRetryAfter(retryAfter)
		}
	}
	recorded, refused := callerResult(r.Stage, r.Answer)
	return nil, recorded, refused
}

// resolveHolder finds the outcome of an operation that another attempt holds. free
// means that that attempt has not started and never will.
func (g *Group) resolveHolder(ctx context.Context, key core.Key, a core.Answer) (recorded *core.Recorded, free bool, refused *result.Error) {
	for {
		reply, err := g.inquire(ctx, key, a)
		if err != nil {
			return nil, false, result.New(result.OutcomeUnknown, "the node that ran it cannot be asked").WithRetryAfter(retryAfter)
		}
		if reply.Stage == core.NotStarted {
			return nil, true, nil
		}
		if reply.Stage != core.Running {
			recorded, refused = callerResult(reply.Stage, reply.Answer)
			return recorded, false, refused
		}
		if !sleep(ctx, inquireInterval) {
			return nil, false, result.New(result.RepeatInProgress, "the first request still runs").WithRetryAfter(retryAfter)
		}
	}
}

// inquire asks the node that has the holder's operation table for the stage.
func (g *Group) inquire(ctx context.Context, key core.Key, a core.Answer) (*peer.InquireReply, error) {
	i := &peer.Inquire{Key: key, Holder: a.Holder}
	if a.Where == g.node.identity.Node {
		return g.answerInquire(i), nil
	}
	g.mu.Lock()
	address := g.addressOf(a.Where)
	g.mu.Unlock()
	if address == "" {
		return nil, errors.New("the node is no longer listed")
	}
	ctx, cancel := context.WithTimeout(ctx, inquireTimeout)
	defer cancel()
	reply, err := g.node.call(ctx, address, &peer.Request{Template: g.template, Inquire: i})
	if err != nil {
		return nil, err
	}
	if reply.Inquire == nil {
		return nil, errors.New("reply without an inquiry result")
	}
	return reply.Inquire, nil
}

// callerResult converts the stage of an operation to the result for a caller that
// used its key again.
func callerResult(stage core.Stage, answer *core.Recorded) (*core.Recorded, *result.Error) {
	switch stage {
	case core.Done:
		return answer, nil
	case core.DoneNoBody:
		return nil, result.New(result.AnswerNotKept, "the operation ran; its answer is not kept")
	case core.Claiming, core.NotStarted:
		return nil, unconfirmed("another request with this key gave up")
	default:
		return nil, result.New(result.OutcomeUnknown, "an earlier request with this key may have run")
	}
}
