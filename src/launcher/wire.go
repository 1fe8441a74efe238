//go:build wireinject

package launcher

import (
	"github.com/google/wire"

	"github.com/rosecroft/rosecroft/src/control"
	"github.com/rosecroft/rosecroft/src/entry"
	"github.com/rosecroft/rosecroft/src/parser"
)

// shared provides the dependencies that control and entries have in common.
var shared = wire.NewSet(newMeter, newClient)

func buildControl(console *console, settings *parser.Settings) (*control.Control, func(), error) {
	wire.Build(shared, controlLogger, controlCertifier, wire.Struct(new(control.Control), "Settings", "Log", "Meter", "Client", "Certificates"))
	return nil, nil, nil
}

func buildEntry(console *console, settings *parser.Settings) (*entry.Entry, func(), error) {
	wire.Build(shared, entryLogger, entryCertifier, wire.Struct(new(entry.Entry), "Settings", "Log", "Meter", "Client", "Certificates"))
	return nil, nil, nil
}
