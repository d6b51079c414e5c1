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
	claimTimeout   = time.Second
	claimTries     = 2
	inquireTimeout = time.Second
	inquirePause   = 50 * time.Millisecond
	comeBack       = time.Second
	maxRounds      = 3 // Claims of one request: each after another's promise not to start.
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
	g.ledger.Update(core.Finish{At: time.Now(), Key: o.key, Attempt: o.attempt, Stage: stage, Answer: answer})
	g.settle(o.key)
}

// settle wakes those who wait for an operation of this node. Call it with mu held.
func (g *Group) settle(k core.Key) {
	if done := g.ended[k]; done != nil {
		close(done)
		delete(g.ended, k)
	}
}

// Begin claims an operation for this node, or finds out what became of it.
func (g *Group) Begin(ctx context.Context, key core.Key, body uint64, born time.Time) (proxy.Operation, *core.Recorded, *result.Error) {
	var instead core.Holder
	for range maxRounds {
		r, mine := g.begin(key, body)
		if !mine {
			return g.repeat(ctx, key, body, r)
		}
		if r.Previous != 0 && instead == (core.Holder{}) {
			instead = g.holder(r.Previous)
		}
		c := &peer.Claim{Key: key, Body: body, Holder: g.holder(r.Attempt), Instead: instead}
		if !born.IsZero() {
			c.Born = born.UnixMilli()
		}
		answer, err := g.claim(ctx, c)
		if err != nil {
			g.giveUp(key, r.Attempt)
			return nil, nil, unconfirmed("the coordinator cannot be reached")
		}
		switch answer.Verdict {
		case core.Granted:
			return g.permit(ctx, key, body, r.Attempt, answer)
		case core.OtherBody:
			g.giveUp(key, r.Attempt)
			return nil, nil, result.New(result.KeyReused, "the key was used with another request")
		case core.Ahead:
			g.giveUp(key, r.Attempt)
			return nil, nil, result.New(result.BadRequest, "the key's time is ahead of ours; set the clock that makes keys")
		case core.Unsure:
			g.giveUp(key, r.Attempt)
			return nil, nil, unconfirmed("a new coordinator is still asking the nodes")
		case core.HeldBy:
			g.giveUp(key, r.Attempt)
			recorded, free, refused := g.ask(ctx, key, answer)
			if !free {
				return nil, recorded, refused
			}
			instead = answer.Holder
		default:
			g.giveUp(key, r.Attempt)
			return nil, nil, unconfirmed("there is no coordinator")
		}
	}
	return nil, nil, unconfirmed("others claim the key over and over")
}

func unconfirmed(detail string) *result.Error {
	return result.New(result.KeyUnconfirmed, detail).WithRetryAfter(comeBack)
}

func (g *Group) holder(attempt uint64) core.Holder {
	return core.Holder{Node: g.node.identity.Node, Incarnation: g.node.identity.Incarnation, Attempt: attempt}
}

// begin opens an attempt in the ledger; mine is false if there is one already.
func (g *Group) begin(key core.Key, body uint64) (r core.Report, mine bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r = g.ledger.Update(core.Begin{At: time.Now(), Key: key, Body: body})
	if r.Accepted && g.ended[key] == nil {
		g.ended[key] = make(chan struct{})
	}
	return r, r.Accepted
}

func (g *Group) giveUp(key core.Key, attempt uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Update(core.GiveUp{Key: key, Attempt: attempt})
	g.settle(key)
}

// claim asks the coordinator. Asking again is harmless, as it is the same holder.
func (g *Group) claim(ctx context.Context, c *peer.Claim) (core.Answer, error) {
	for try := 0; ; try++ {
		g.mu.Lock()
		leading, address, unheard := g.leading(), g.leaderAddress(), time.Since(g.heard)
		g.mu.Unlock()
		if leading {
			return *g.answerClaim(g.node.identity, c), nil
		}
		if address == "" || unheard > heardLately {
			// The caller is told at once, rather than after another time-out.
			return core.Answer{}, errors.New("no coordinator is heard")
		}
		call, cancel := context.WithTimeout(ctx, claimTimeout)
		reply, err := g.node.call(call, address, &peer.Request{Template: g.template, Claim: c})
		cancel()
		if err == nil && reply.Claim != nil {
			return *reply.Claim, nil
		}
		if try+1 >= claimTries || ctx.Err() != nil {
			return core.Answer{}, errors.New("the coordinator does not answer")
		}
	}
}

// permit starts the attempt, unless a later coordinator has been promised since.
func (g *Group) permit(ctx context.Context, key core.Key, body, attempt uint64, answer core.Answer) (proxy.Operation, *core.Recorded, *result.Error) {
	if !g.witnessed(ctx, key, body, attempt, answer.Epoch) {
		g.giveUp(key, attempt)
		return nil, nil, unconfirmed("no other node can remember the operation")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ledger.Update(core.Permit{Key: key, Attempt: attempt, Epoch: answer.Epoch})
	if !r.Accepted {
		g.settle(key)
		return nil, nil, unconfirmed("the coordinator changed meanwhile")
	}
	return &operation{group: g, key: key, attempt: attempt}, nil, nil
}

// witnessed makes sure that a grant is in two memories. The coordinator's grant to
// itself would be in one, so it has another node keep it too.
func (g *Group) witnessed(ctx context.Context, key core.Key, body, attempt, epoch uint64) bool {
	g.mu.Lock()
	leading := g.leading()
	g.mu.Unlock()
	if !leading {
		return true
	}
	others := g.others()
	if len(others) == 0 {
		return true // A group of one node cannot do better; docs/DESIGN.md says so.
	}
	held := []core.Held{{Key: key, Body: body, Holder: g.holder(attempt)}}
	return g.second(ctx, others, held, epoch)
}

// second puts grants with another node, and reports whether one has them.
func (g *Group) second(ctx context.Context, others []peer.Member, held []core.Held, epoch uint64) bool {
	w := &peer.Witness{Held: held, Epoch: epoch}
	for _, m := range others {
		call, cancel := context.WithTimeout(ctx, claimTimeout/2)
		reply, err := g.node.call(call, m.Address, &peer.Request{Template: g.template, Witness: w})
		cancel()
		if err == nil && reply.Done {
			return true
		}
	}
	return false
}

// repeat answers a request whose key this node knows already.
func (g *Group) repeat(ctx context.Context, key core.Key, body uint64, r core.Report) (proxy.Operation, *core.Recorded, *result.Error) {
	if r.Body != body {
		return nil, nil, result.New(result.KeyReused, "the key was used with another request")
	}
	for r.Stage == core.Claiming || r.Stage == core.Running {
		g.mu.Lock()
		done := g.ended[key]
		r = g.ledger.Update(core.Look{Key: key})
		g.mu.Unlock()
		if done == nil {
			break
		}
		select {
		case <-done:
		case <-ctx.Done():
			return nil, nil, result.New(result.RepeatInProgress, "the first request still runs").WithRetryAfter(comeBack)
		}
	}
	recorded, refused := told(r.Stage, r.Answer)
	return nil, recorded, refused
}

// ask finds out what became of an operation that another attempt holds. free says
// that the attempt never started, and now never will.
func (g *Group) ask(ctx context.Context, key core.Key, a core.Answer) (recorded *core.Recorded, free bool, refused *result.Error) {
	for {
		reply, err := g.inquire(ctx, key, a)
		if err != nil {
			return nil, false, result.New(result.OutcomeUnknown, "the node that ran it cannot be asked").WithRetryAfter(comeBack)
		}
		if reply.Stage == core.NotStarted {
			return nil, true, nil
		}
		if reply.Stage != core.Running {
			recorded, refused = told(reply.Stage, reply.Answer)
			return recorded, false, refused
		}
		if !sleep(ctx, inquirePause) {
			return nil, false, result.New(result.RepeatInProgress, "the first request still runs").WithRetryAfter(comeBack)
		}
	}
}

func (g *Group) inquire(ctx context.Context, key core.Key, a core.Answer) (*peer.Inquired, error) {
	i := &peer.Inquire{Key: key, Holder: a.Holder}
	if a.Where == g.node.identity.Node {
		return g.answerInquire(i), nil
	}
	g.mu.Lock()
	address := g.addressOf(a.Where)
	g.mu.Unlock()
	if address == "" {
		return nil, errors.New("the node is gone")
	}
	ctx, cancel := context.WithTimeout(ctx, inquireTimeout)
	defer cancel()
	reply, err := g.node.call(ctx, address, &peer.Request{Template: g.template, Inquire: i})
	if err != nil {
		return nil, err
	}
	if reply.Inquire == nil {
		return nil, errors.New("no answer")
	}
	return reply.Inquire, nil
}

// told turns what is known of an operation into what the caller gets.
func told(stage core.Stage, answer *core.Recorded) (*core.Recorded, *result.Error) {
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
