// Package explainer keeps what was decided about each of the last calls, so that an operator can read it back.
package explainer
