package process

// This file serves metrics, as JSON in the format of go-metrics and in the Prometheus
// text format.

import (
	"net/http"
	"sort"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

const metricPrefix = "ragwort_"

var quantiles = []float64{0.5, 0.95, 0.99}

// MetricsHandler returns a handler that serves the metrics of a registry at /metrics (in
// the Prometheus format) and /metrics.json.
func MetricsHandler(r metrics.Registry) http.Handler {
	s := Server{Metrics: r}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.servePrometheus)
	mux.HandleFunc("GET /metrics.json", s.serveJSON)
	return mux
}

func (s Server) serveJSON(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.Metrics, w)
}

func (s Server) servePrometheus(w http.ResponseWriter, r *http.Request) {
	format := expfmt.NegotiateAccept(r.Header, expfmt.DefaultAcceptedFormats()...)
	w.Header().Set("Content-Type", string(format))
	encoder := expfmt.NewEncoder(w, format)
	for _, family := range metricFamilies(s.Metrics) {
		if err := encoder.Encode(family); err != nil {
			return
		}
	}
}

// metricFamilies converts the metrics of a registry, sorted by name.
func metricFamilies(r metrics.Registry) []*dto.MetricFamily {
	var all []*dto.MetricFamily
	r.Each(func(name string, m any) {
		if f := metricFamily(name, m); f != nil {
			all = append(all, f)
		}
	})
	sort.Slice(all, func(i, j int) bool { return all[i].GetName() < all[j].GetName() })
	return all
}

// metricFamily converts one metric. It returns nil for an unsupported type.
func metricFamily(name string, m any) *dto.MetricFamily {
	f := &dto.MetricFamily{Name: proto.String(metricPrefix + strings.NewReplacer(".", "_", "-", "_").Replace(name))}
	switch v := m.(type) {
	case metrics.Counter:
		f.Type = dto.MetricType_COUNTER.Enum()
		f.Metric = []*dto.Metric{{Counter: &dto.Counter{Value: proto.Float64(float64(v.Count()))}}}
	case metrics.Gauge:
		f.Type = dto.MetricType_GAUGE.Enum()
		f.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: proto.Float64(float64(v.Value()))}}}
	case metrics.GaugeFloat64:
		f.Type = dto.MetricType_GAUGE.Enum()
		f.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: proto.Float64(v.Value())}}}
	case metrics.Histogram:
		f.Type = dto.MetricType_SUMMARY.Enum()
		f.Metric = []*dto.Metric{{Summary: summary(v.Snapshot())}}
	default:
		return nil
	}
	return f
}

func summary(h metrics.Histogram) *dto.Summary {
	s := &dto.Summary{
		SampleCount: proto.Uint64(uint64(h.Count())),
		SampleSum:   proto.Float64(float64(h.Sum())),
	}
	for i, value := range h.Percentiles(quantiles) {
		s.Quantile = append(s.Quantile, &dto.Quantile{
			Quantile: proto.Float64(quantiles[i]), Value: proto.Float64(value),
		})
	}
	return s
}
