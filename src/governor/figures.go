package governor

import (
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/releaser"
	"github.com/rosecroft/rosecroft/src/units"
)

// EncodeFigures encodes what an entry has measured of a version.
func EncodeFigures(service units.Service, number uint64, f releaser.Figures) *messages.VersionFigures {
	return &messages.VersionFigures{
		Service:      string(service),
		Number:       number,
		Upstream:     uint64(f.UpstreamHash),
		Route:        string(f.Route),
		Answers:      int64(f.Sample.Answers),
		Failures:     int64(f.Sample.Failures),
		FirstSum:     f.Sample.FirstByte.Sum,
		FirstSquares: f.Sample.FirstByte.Squares,
		Firsts:       int64(f.Sample.FirstByte.Count),
		Paced:        int64(f.Sample.EventInterval.Count),
		PaceSum:      f.Sample.EventInterval.Sum,
		PaceSquares:  f.Sample.EventInterval.Squares,
		Running:      int64(f.Sample.Running),
	}
}

// DecodeFigures decodes what an entry has measured of a version.
func DecodeFigures(m *messages.VersionFigures) releaser.Figures {
	return releaser.Figures{
		UpstreamHash: releaser.UpstreamHash(m.GetUpstream()),
		Route:        releaser.Route(m.GetRoute()),
		Sample: releaser.Sample{
			Answers:  float64(m.GetAnswers()),
			Failures: float64(m.GetFailures()),
			FirstByte: releaser.Moments{
				Count:   float64(m.GetFirsts()),
				Sum:     m.GetFirstSum(),
				Squares: m.GetFirstSquares(),
			},
			EventInterval: releaser.Moments{
				Count:   float64(m.GetPaced()),
				Sum:     m.GetPaceSum(),
				Squares: m.GetPaceSquares(),
			},
			Running: float64(m.GetRunning()),
		},
	}
}
