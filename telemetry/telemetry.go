// Package telemetry sets up the logging and metrics of a daemon: one key=value
// log line per event, and Prometheus metrics, with counters labelled by reason.
package telemetry

import (
	"io"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger that writes key=value lines to standard error.
func NewLogger(level string) *logrus.Logger {
	return NewLoggerTo(os.Stderr, level)
}

// NewLoggerTo returns a logger that writes key=value lines to out.
func NewLoggerTo(out io.Writer, level string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: time.RFC3339Nano,
	})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return log
}

// NewRegistry returns a registry with the Go runtime and process collectors.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return r
}

// NewCounter creates and registers a counter with the given labels.
func NewCounter(r *prometheus.Registry, name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	r.MustRegister(c)
	return c
}

// NewGaugeFunc registers a gauge whose value is obtained from read at each scrape.
func NewGaugeFunc(r *prometheus.Registry, name, help string, read func() float64) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// latencyBuckets are in seconds, with a finer resolution around the latency
// goals: half a second to the first token, tens of milliseconds between tokens.
var latencyBuckets = []float64{
	0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.031, 0.05, 0.1, 0.2, 0.3, 0.4, 0.52, 0.75, 1, 2, 5, 10, 30,
}

// NewGauge creates and registers a gauge with the given labels.
func NewGauge(r *prometheus.Registry, name, help string, labels ...string) *prometheus.GaugeVec {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
	r.MustRegister(g)
	return g
}

// ageBuckets are in seconds, in even steps around the time limits within which a
// change takes effect in all processes.
var ageBuckets = []float64{0.25, 0.5, 1, 1.5, 2, 3, 4, 6, 8, 10, 12, 15, 20, 30}

// NewAges creates and registers a histogram of staleness: the age, in seconds, of
// the data in use.
func NewAges(r *prometheus.Registry, name, help string) prometheus.Histogram {
	h := prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: ageBuckets})
	r.MustRegister(h)
	return h
}

// NewLatency creates and registers a latency histogram, in seconds, with the given
// labels.
func NewLatency(r *prometheus.Registry, name, help string, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencyBuckets}, labels)
	r.MustRegister(h)
	return h
}
