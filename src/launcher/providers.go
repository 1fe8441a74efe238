package launcher

import (
	"fmt"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/logger"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/parser"
)

func newMeter() (*meter.Meter, func()) {
	m := meter.New()
	return m, func() { _ = m.Close() }
}

func newClient(certificates *certifier.Certifier, metrics *meter.Meter) (*connector.Client, func()) {
	client := &connector.Client{
		TLS:          certificates.PeerClientConfig(),
		VerifyServer: certificates.VerifyControlServer,
		Traffic:      connector.NewTraffic(metrics.Scope),
	}
	return client, client.Close
}

func controlLogger(console *console, settings *parser.Settings) zerolog.Logger {
	return logger.New(console.err, string(parser.Control), settings.Name)
}

func entryLogger(console *console, settings *parser.Settings) zerolog.Logger {
	return logger.New(console.err, string(parser.Entry), settings.Name)
}

func controlCertifier(settings *parser.Settings, log zerolog.Logger) (*certifier.Certifier, error) {
	return newCertifier(settings, parser.Control, log)
}

func entryCertifier(settings *parser.Settings, log zerolog.Logger) (*certifier.Certifier, error) {
	return newCertifier(settings, parser.Entry, log)
}

func newCertifier(settings *parser.Settings, role parser.Role, log zerolog.Logger) (*certifier.Certifier, error) {
	certificates, err := certifier.New(settings, role, log)
	if err != nil {
		return nil, fmt.Errorf("load the certificates: %w", err)
	}
	return certificates, nil
}
