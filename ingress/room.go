package ingress

import (
	"time"

	"go.uber.org/zap"

	"eiderfold/link"
	"eiderfold/switches"
)

const (
	// roomTTL is how long a reported room counts: about one response time, in which most slots of a
	// busy gate are freed and taken again.
	roomTTL = 1 * time.Second
	// invalidRoomLogEvery is the shortest interval between two log lines about invalid rooms.
	invalidRoomLogEvery = 1 * time.Minute
)

// reportedRoom is the room that a gate reported last, less what this node has offered to the gate
// since. It is not safe for concurrent use.
type reportedRoom struct {
	room     link.Room
	until    time.Time // Until which it counts.
	sent     int       // Offers that the report may not account for.
	pending  int       // Offers without any response.
	toAll    bool      // The gate reported it to all nodes at once.
	rounding float64   // Drawn once for the report; see spillSlots.
	drawn    bool
}

// note records a report. Offers on the way to the gate are not accounted for in it.
func (r *reportedRoom) note(room link.Room, toAll bool, now time.Time) {
	r.room, r.until, r.sent, r.toAll, r.drawn = room, now.Add(roomTTL), r.pending, toAll, false
}

// forget makes the room unknown until the next report.
func (r *reportedRoom) forget() { r.until = time.Time{} }

// offered records an offer to the gate.
func (r *reportedRoom) offered() {
	r.sent++
	r.pending++
}

// responded records the first response to an offer, or that none is awaited any more.
func (r *reportedRoom) responded() { r.pending-- }

// at returns the room for one more offer, and whether it is known. perOffer is how long each offer of
// this node lengthens the wait of the next one once no slot is free.
func (r *reportedRoom) at(now time.Time, perOffer time.Duration) (link.Room, bool) {
	if !now.Before(r.until) {
		return link.Room{}, false
	}
	if r.sent < r.room.Free {
		return link.Room{Free: r.room.Free - r.sent}, true
	}
	before := r.sent - r.room.Free
	if r.room.Free > 0 {
		before++ // The first offer without a free slot waits for one as well.
	}
	return link.Room{Wait: r.room.Wait + time.Duration(before)*perOffer}, true
}

// full reports whether the gate is known to have no free slot. A report of that counts only for the wait
// that it states: a slot is free by then, unless others have come, and gates that are avoided for longer
// stay idle while the others fill up.
func (r *reportedRoom) full(now time.Time) bool {
	if r.sent < r.room.Free || !now.Before(r.until) {
		return false
	}
	return r.room.Free > 0 || now.Before(r.until.Add(r.room.Wait-roomTTL))
}

// room returns the gate's room for one more offer of this node, and whether it is known.
func (e *Endpoint) room(now time.Time) (link.Room, bool) {
	perOffer := e.responseTime.at(now) / time.Duration(max(e.status.Load().Slots, 1))
	e.roomMu.Lock()
	defer e.roomMu.Unlock()
	return e.reported.at(now, perOffer)
}

// saturated reports whether the gate is known to have no free slot.
func (e *Endpoint) saturated(now time.Time) bool {
	e.roomMu.Lock()
	defer e.roomMu.Unlock()
	return e.reported.full(now)
}

// noteRoom records a room that the gate reported, to all nodes at once or to this one alone; nil if a
// message to all states none, as that of a gate that is not open.
func (e *Endpoint) noteRoom(room *link.Room, toAll bool, now time.Time) {
	e.roomMu.Lock()
	defer e.roomMu.Unlock()
	if room == nil {
		e.reported.forget()
		return
	}
	e.reported.note(*room, toAll, now)
}

// noteOffered records an offer, which takes some of the gate's room.
func (e *Endpoint) noteOffered() {
	e.inFlight.Add(1)
	e.roomMu.Lock()
	defer e.roomMu.Unlock()
	e.reported.offered()
}

// noteResponded records the first response to an offer, or that none is awaited any more.
func (o *offer) noteResponded() {
	if o.responded {
		return
	}
	o.responded = true
	o.endpoint.roomMu.Lock()
	defer o.endpoint.roomMu.Unlock()
	o.endpoint.reported.responded()
}

// noteRoom records the room that a gate states in a message about an offer.
func (f *inFlightRequest) noteRoom(o *offer, frame *link.Frame, now time.Time) {
	room, contradicted := roomOf(frame)
	saysNothing := room == nil && !contradicted
	if saysNothing || !f.forwarder.endpoints.switches.On(switches.Room) || !f.forwarder.checkRoom(o.endpoint, room, now) {
		return
	}
	if contradicted {
		room = nil
	}
	o.endpoint.noteRoom(room, false, now)
}

// roomOf returns the room that a gate states in a message about an offer; nil for none. It also
// reports whether the message contradicts any free slot, as a refusal for lack of room does.
func roomOf(f *link.Frame) (room *link.Room, contradicted bool) {
	switch {
	case f.Granted != nil:
		return f.Granted.Room, false
	case f.Queued != nil:
		return f.Queued.Room, false
	case f.Answer != nil:
		return f.Answer.Room, false
	case f.Refused != nil:
		room = f.Refused.Room
		return room, lacksRoom(f.Refused.Reason) && (room == nil || room.Free > 0)
	default:
		return nil, false
	}
}

// lacksRoom reports whether a gate that refuses for a reason has no free slot to offer.
func lacksRoom(r link.Reason) bool {
	switch r {
	case link.ReasonClosed, link.ReasonTrial, link.ReasonBusy, link.ReasonNotConnected, link.ReasonShed, link.ReasonLimited:
		return true
	default:
		return false
	}
}

// ReceiveStatus records a status that a gate sent to all nodes.
func (f *Forwarder) ReceiveStatus(e *Endpoint, s link.Status, now time.Time) {
	room := s.Room
	if s.Mode != link.ModeOpen || !f.endpoints.switches.On(switches.Room) || !f.checkRoom(e, room, now) {
		room = nil
	}
	e.noteRoom(room, true, now)
	e.SetStatus(s, now)
	f.endpoints.statements.noteStatus(s, now)
}

// checkRoom reports whether a room is valid, and counts and logs it if not.
func (f *Forwarder) checkRoom(e *Endpoint, room *link.Room, now time.Time) bool {
	if room.Valid() {
		return true
	}
	f.count("room_invalid")
	next := f.nextRoomLog.Load()
	if now.UnixNano() >= next && f.nextRoomLog.CompareAndSwap(next, now.Add(invalidRoomLogEvery).UnixNano()) {
		f.log.Warn("invalid room", zap.String("node", e.member.Name), zap.Int("free", room.Free), zap.Duration("wait", room.Wait))
	}
	return false
}
