package measurer

import (
	"bytes"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// counter returns the sum of a counter over its labels, from a scrape.
func counter(scrape []byte, name string) float64 {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(scrape))
	if err != nil {
		return 0
	}
	total := 0.0
	for family, metrics := range families {
		if strings.TrimSuffix(family, "_total") == name {
			total += sum(metrics)
		}
	}
	return total
}

func sum(family *dto.MetricFamily) float64 {
	total := 0.0
	for _, metric := range family.GetMetric() {
		total += metric.GetCounter().GetValue()
	}
	return total
}
