// Package explainer keeps the decisions made about each of the most recent calls, so that
// operators can look them up.
package explainer
