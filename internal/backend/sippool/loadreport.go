package sippool

import (
	"eidertrail/dispatch"
	"eidertrail/internal/backend/sip"
)

// stateHeader is the header that carries a load report. A NOTIFY without it has the report as its body.
const stateHeader = "x-state"

// Load report fields that every pool may use besides the configured ones.
const (
	defaultFreeField   = "x0"
	defaultAgentsField = "x1"
)

// loadReport returns the load report that a message carries, and whether there is any.
func (s *Pools) loadReport(m *sip.Message) (dispatch.LoadReport, bool) {
	text := m.Get(stateHeader)
	if text == "" && m.Method == methodNotify {
		text = string(m.Body)
	}
	report := dispatch.UnknownLoad
	sip.ParseReport(text, func(name string, value float64) {
		switch name {
		case s.cfg.ReportFree, defaultFreeField:
			report.Free = value
		case s.cfg.ReportAgents, defaultAgentsField:
			report.Agents = value
		}
	})
	return report, report != dispatch.UnknownLoad
}

// reportCapacity passes on the pool's capacity, where the message has it.
func (p *pool) reportCapacity(m *sip.Message) {
	cfg := &p.set.cfg
	if cfg.ReportCapacity == "" || cfg.OnCapacity == nil {
		return
	}
	sip.ParseReport(m.Get(stateHeader), func(name string, value float64) {
		if name == cfg.ReportCapacity && value >= 0 {
			cfg.OnCapacity(p.uid, value)
		}
	})
}
