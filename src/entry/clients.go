package entry

import "github.com/rosecroft/rosecroft/src/admitter"

// newAdmitter returns the bound on what all clients of the entry hold.
func newAdmitter(e *Entry) *admitter.Admitter {
	clients := &admitter.Admitter{
		Limits: admitter.NewLimits(e.Settings.ClientLimits, 0),
		Log:    e.Log,
	}
	if e.Meter != nil {
		clients.Scope = e.Meter.Scope
	}
	return clients
}

// callersListener returns the listener for callers, whose connections count.
func (e *Entry) callersListener() *admitter.Listener {
	listener := e.clients.NewListener(e.Callers, "callers", admitter.CallerFraction, 0)
	listener.MaxConnections = e.Settings.ClientLimits.Connections
	return listener
}
