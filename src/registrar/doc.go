// Package registrar decides which entries form the numbered entry view.
//
// It runs on the control leader, receives heartbeats of entries and proposes the
// next view. A proposal takes effect once the replicated log has committed it.
package registrar
