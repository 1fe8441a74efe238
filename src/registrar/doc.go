// Package registrar decides which entries form the numbered entry view.
//
// It runs at the control leader. Heartbeats of entries go in and proposals for
// the next view come out; the replicated log makes a proposal the view.
package registrar
