// Package standin stands in for the systems that rosecroft serves, in tests and demonstrations.
//
// It plays a model engine, a plain service and the platform's cloud API over
// their published protocols, and keeps a ledger of what really ran.
package standin
