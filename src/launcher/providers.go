package launcher

import (
	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/logger"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/parser"
)

func newMeter() (*meter.Meter, func()) {
	m := meter.New()
	return m, func() { _ = m.Close() }
}

func newClient() (*connector.Client, func()) {
	client := &connector.Client{}
	return client, client.Close
}

func controlLogger(console *console, settings *parser.Settings) zerolog.Logger {
	return logger.New(console.err, string(parser.Control), settings.Name)
}

func entryLogger(console *console, settings *parser.Settings) zerolog.Logger {
	return logger.New(console.err, string(parser.Entry), settings.Name)
}
