package link

// Meter is called for every message that a link has encoded for writing, with its
// kind and its size in bytes.
type Meter func(kind string, bytes int)

// SetMeter sets the meter for all messages sent from now on.
func (l *Link) SetMeter(m Meter) { l.meter.Store(&m) }

// count reports a message to the meter, if one is set.
func (l *Link) count(f *Frame, bytes int) {
	if m := l.meter.Load(); m != nil {
		(*m)(f.kind(), bytes)
	}
}

// kind returns the metric name of what a message carries.
func (f *Frame) kind() string {
	switch {
	case f.Hello != nil:
		return "hello"
	case f.Status != nil, f.Leaving != nil:
		return "status"
	case f.Offer != nil && f.Offer.Content != nil:
		return "offer_with_content"
	case f.Offer != nil:
		return "offer"
	case f.Granted != nil, f.Queued != nil, f.Refused != nil, f.Overdue != nil:
		return "reply"
	case f.Commit != nil:
		return "commit"
	case f.Answer != nil, f.Failed != nil:
		return "answer"
	case f.Configuration != nil, f.Operator != nil:
		return "configuration"
	case f.LimitRequest != nil, f.LimitReply != nil, f.LimitReports != nil,
		f.LimitProbe != nil, f.LimitProbeReply != nil, f.HomeNotice != nil:
		return "limit"
	case len(f.Records) > 0, f.Digest != nil, len(f.Packed) > 0:
		return "members"
	case len(f.Quarantine) > 0:
		return "quarantine"
	default:
		return "other"
	}
}
