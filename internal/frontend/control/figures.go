package control

import (
	"strconv"
	"strings"

	"eidertrail/internal/telemetry"
)

// figurePrefix begins the name of every figure.
const figurePrefix = "app."

// metricType is the type of a figure, as statsd writes it.
type metricType string

const (
	metricCounter metricType = "c"
	metricGauge   metricType = "g"
)

// Figures are what an operator is told of the controller's work. Counts run from the start of the process.
type Figures struct {
	Outcomes         []telemetry.ClassOutcome
	Sends            int64 // attempts written completely to pools
	Current          int   // requests that were taken and have not ended; established calls are among them
	ClusterSize      int   // pools in the endpoint list
	ClusterUnhealthy int   // of them, those that get no new calls now
}

// String is the figures, a line each.
func (f Figures) String() string {
	var text strings.Builder
	for _, reading := range f.Outcomes {
		writeFigure(&text, reading.Outcome.String()+"."+reading.Class, reading.Count, metricCounter)
	}
	writeFigure(&text, "sends", f.Sends, metricCounter)
	writeFigure(&text, "current", int64(f.Current), metricGauge)
	writeFigure(&text, "cluster_size", int64(f.ClusterSize), metricGauge)
	writeFigure(&text, "cluster_unhealthy", int64(f.ClusterUnhealthy), metricGauge)
	return text.String()
}

func writeFigure(text *strings.Builder, name string, value int64, kind metricType) {
	text.WriteString(figurePrefix)
	text.WriteString(name)
	text.WriteByte(':')
	text.WriteString(strconv.FormatInt(value, 10))
	text.WriteByte('|')
	text.WriteString(string(kind))
	text.WriteByte('\n')
}
