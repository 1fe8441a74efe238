package appraiser

// minStep is the minimum weight of a new statement in the mean of many. At some statements a
// second, an upstream whose machine has become faster or slower is known to be so within seconds.
const minStep = 1.0 / 32

// Estimate is a decaying mean of how many times as long as usual work takes at an upstream; its
// zero value stands for an upstream that has stated nothing.
type Estimate struct {
	Mean float64
	// Statements is how many statements the mean was made of.
	Statements int
}

// Record adds a number of statements that have the given mean.
func (e *Estimate) Record(mean float64, statements int) {
	for range statements {
		e.Statements++
		e.Mean += (mean - e.Mean) * max(1/float64(e.Statements), minStep)
	}
}

// Factor returns how many times as long as usual work is expected to take, 1 where that is
// unknown.
func (e Estimate) Factor() float64 {
	if e.Statements == 0 {
		return 1
	}
	return e.Mean
}
