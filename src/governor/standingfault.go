package governor

import "github.com/rs/zerolog"

// standingFault logs a fault of a step that is repeated many times a second: once when it begins and once when it ends.
type standingFault struct {
	failures int
}

// record records how a step has ended.
func (f *standingFault) record(log zerolog.Logger, message string, err error) {
	switch {
	case err != nil:
		if f.failures++; f.failures == 1 {
			log.Error().Err(err).Msg(message)
		}
	case f.failures > 0:
		log.Info().Int("failures", f.failures).Msg(message + "-ended")
		f.failures = 0
	}
}
