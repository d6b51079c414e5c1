package settings

import (
	"fmt"
	"net/netip"
	"slices"

	"eiderfold/switches"
)

// faultFunc records a fault of a field.
type faultFunc func(field, format string, arguments ...any)

// check validates the settings and returns all faults, sorted.
func (m *Mesh) check() []string {
	var faults []string
	fault := func(field, format string, arguments ...any) {
		faults = append(faults, field+": "+fmt.Sprintf(format, arguments...))
	}
	m.checkNames(fault)
	m.checkAddresses(fault)
	m.checkBounds(fault)
	m.checkLog(fault)
	slices.Sort(faults)
	return faults
}

// checkNames reports names that are missing.
func (m *Mesh) checkNames(fault faultFunc) {
	f := m.file
	for field, value := range map[string]string{"node": f.Node, "data_centre": f.DataCentre, "upstream.service": f.Upstream.Service} {
		if value == "" {
			fault(field, "is missing")
		}
	}
}

func (m *Mesh) checkAddresses(fault faultFunc) {
	f := m.file
	addresses := map[string]string{
		"upstream.address": f.Upstream.Address,
		"listen.callers":   f.Listen.Callers,
		"listen.links":     f.Listen.Links,
		"listen.reports":   f.Listen.Reports,
		"listen.ready":     f.Listen.Ready,
		"store":            f.Store,
	}
	for field, value := range map[string]string{"listen.metrics": f.Listen.Metrics, "listen.advertise": f.Listen.Advertise} {
		if value != "" {
			addresses[field] = value
		}
	}
	for field, value := range addresses {
		if _, err := netip.ParseAddrPort(value); err != nil {
			fault(field, "%q is no IP:port", value)
		}
	}
}

func (m *Mesh) checkBounds(fault faultFunc) {
	f := m.file
	if f.Fleet.FloorShare < 0 || f.Fleet.FloorShare > 1 {
		fault("fleet.floor_share", "%v is not between 0 and 1", f.Fleet.FloorShare)
	}
	if f.Fleet.Acknowledge < 0 {
		fault("fleet.acknowledge", "%v is under 0", f.Fleet.Acknowledge)
	}
	if f.Retries.Ratio < 0 || f.Retries.Slack < 0 {
		fault("retries", "ratio %v and slack %v must not be under 0", f.Retries.Ratio, f.Retries.Slack)
	}
	if f.Limits.Window < 0 || f.Limits.Over < 0 || f.Limits.Slack < 0 {
		fault("account_limits", "window %v, over %v and slack %v must not be under 0", f.Limits.Window, f.Limits.Over, f.Limits.Slack)
	}
	if _, err := switches.Off(f.Off...); err != nil {
		fault("off", "%v", err)
	}
	if f.Memory < 0 {
		fault("memory_mb", "%v is under 0", f.Memory)
	}
	for dataCentre, region := range f.Regions {
		if dataCentre == "" || region == "" {
			fault("regions", "%q: %q names no data centre or no region", dataCentre, region)
		}
	}
	if f.Stop.Grace < minMeshGrace {
		fault("stop.grace", "%v is under %v", f.Stop.Grace, minMeshGrace)
	}
}

func (m *Mesh) checkLog(fault faultFunc) {
	l := m.file.Log
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, l.Level) {
		fault("log.level", "%q is none of debug, info, warn, error", l.Level)
	}
	if l.Format != "" && l.Format != "json" {
		fault("log.format", "%q: a mesh node logs json", l.Format)
	}
}
