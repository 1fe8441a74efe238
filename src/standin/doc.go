// Package standin simulates the systems that rosecroft serves, for tests and demonstrations.
//
// It simulates a model engine, a plain service and the platform's cloud API over
// their published protocols, and records which calls actually ran.
package standin
