package logger

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/units"
)

// New returns a logger whose lines name the instance and its role.
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
		FormatTimestamp: pair("time"),
		FormatLevel:     pair("level"),
		FormatMessage:   pair("event"),
	}
	return zerolog.New(writer).With().
		Timestamp().
		Str("role", role).
		Str("instance", string(instance)).
		Logger()
}

func pair(key string) zerolog.Formatter {
	return func(value any) string {
		return fmt.Sprintf("%s=%v", key, value)
	}
}
