package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"

	"eiderfold/config"
)

func (s *Settings) check() []string {
	var faults []string
	fault := func(field, format string, arguments ...any) {
		faults = append(faults, field+": "+fmt.Sprintf(format, arguments...))
	}
	for field, value := range map[string]string{"node": s.file.Node, "data_centre": s.file.DataCentre} {
		if err := config.CheckName(value); err != nil {
			fault(field, "%v", err)
		}
	}
	if len(s.file.Templates) == 0 {
		fault("templates", "a node serves at least one template")
	}
	for i, t := range s.file.Templates {
		if err := config.CheckName(t); err != nil {
			fault(fmt.Sprintf("templates[%d]", i), "%v", err)
		}
	}
	for field, value := range map[string]string{"listen.callers": s.Listen.Callers, "listen.admin": s.Listen.Admin, "listen.peers": s.Listen.Peers} {
		if _, err := netip.ParseAddrPort(value); err != nil {
			fault(field, "%q is no IP:port", value)
		}
	}
	for i, seed := range s.file.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			fault(fmt.Sprintf("seeds[%d]", i), "%q is no IP:port", seed)
		}
	}
	if u, err := url.Parse(s.Platform.Address); err != nil || u.Host == "" {
		fault("platform.address", "%q is no URL such as http://10.0.0.1:8500", s.Platform.Address)
	}
	if s.Platform.CallsPerSecond < 0 {
		fault("platform.calls_per_second", "%v is under 0", s.Platform.CallsPerSecond)
	}
	for field, k := range map[string]keyFiles{"keys": s.Keys, "caller_keys": s.CallerKeys} {
		if field == "caller_keys" && k == (keyFiles{}) {
			continue
		}
		if k.Certificate == "" || k.Key == "" || k.Authority == "" {
			fault(field, "certificate, key and authority are needed, as paths or inline PEM")
		}
	}
	s.checkTeams(fault)
	s.checkLimits(fault)
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		fault("log.level", "%q is none of debug, info, warn, error", s.Log.Level)
	}
	if !slices.Contains([]string{"json", "console"}, s.Log.Format) {
		fault("log.format", "%q is neither json nor console", s.Log.Format)
	}
	slices.Sort(faults)
	return faults
}

const minToken = 16 // characters

func (s *Settings) checkTeams(fault func(field, format string, arguments ...any)) {
	seen := map[string]bool{}
	for i, t := range s.file.Teams {
		field := fmt.Sprintf("teams[%d]", i)
		if err := config.CheckName(t.Name); err != nil {
			fault(field+".name", "%v", err)
		}
		if len(t.Token) < minToken {
			fault(field+".token", "is under %d characters", minToken)
		}
		if seen[t.Token] {
			fault(field+".token", "is used by another team")
		}
		seen[t.Token] = true
	}
}

func (s *Settings) checkLimits(fault func(field, format string, arguments ...any)) {
	l := s.Limits
	if l.BodyBytes < 0 || l.BodyBytes > maxBody {
		fault("limits.body_bytes", "%d is not between 0 and %d", l.BodyBytes, maxBody)
	}
	if l.KeyedBodyBytes < 0 || l.KeyedBodyBytes > l.BodyBytes {
		fault("limits.keyed_body_bytes", "%d is not between 0 and body_bytes", l.KeyedBodyBytes)
	}
	// The default of body_bytes is also the maximum of header_bytes.
	if l.HeaderBytes < minHeader || l.HeaderBytes > defaultBody {
		fault("limits.header_bytes", "%d is not between %d and %d", l.HeaderBytes, minHeader, defaultBody)
	}
	if l.Connections < 1 || l.Connections > maxConnections {
		fault("limits.connections", "%d is not between 1 and %d", l.Connections, maxConnections)
	}
	// A negative limits.slow_caller is reported as this fault too.
	if l.SlowCaller < 0 || s.Stop.Grace < 0 || s.Stop.Deadline < s.Stop.Grace {
		fault("stop", "grace and deadline must not be negative, nor the deadline before the grace")
	}
}
