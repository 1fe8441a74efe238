package measurer

import (
	"bytes"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// counterSum returns the sum of a counter over all label values in a scrape in the
// Prometheus text format, or 0 where the scrape can't be parsed.
func counterSum(scrape []byte, name string) float64 {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(scrape))
	if err != nil {
		return 0
	}
	total := 0.0
	for familyName, family := range families {
		if strings.TrimSuffix(familyName, "_total") == name {
			total += familySum(family)
		}
	}
	return total
}

func familySum(family *dto.MetricFamily) float64 {
	total := 0.0
	for _, metric := range family.GetMetric() {
		total += metric.GetCounter().GetValue()
	}
	return total
}
