package logger

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/units"
)

// New returns a logger that writes key=value lines with the instance and its role.
func New(out io.Writer, role string, instance units.Instance) zerolog.Logger {
	writer := zerolog.ConsoleWriter{
		Out:        out,
		NoColor:    true,
		TimeFormat: time.RFC3339Nano,
		PartsOrder: []string{
			zerolog.TimestampFieldName,
			zerolog.LevelFieldName,
			zerolog.MessageFieldName,
		},
		FormatTimestamp: formatPair("time"),
		FormatLevel:     formatPair("level"),
		FormatMessage:   formatPair("event"),
	}
	return zerolog.New(writer).With().
		Timestamp().
		Str("role", role).
		Str("instance", string(instance)).
		Logger()
}

func formatPair(key string) zerolog.Formatter {
	return func(value any) string {
		return fmt.Sprintf("%s=%v", key, value)
	}
}
