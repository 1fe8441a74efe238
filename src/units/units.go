package units

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Brand names a brand that operators resell the service under.
type Brand string

// Account names a client account of a brand.
type Account string

// Service names a service, a model pool or a plain application.
type Service string

// Upstream names one back end that announces itself.
type Upstream string

// Instance names one machine of the system or of the platform.
type Instance string

// VoterID names one life of an instance's data folder, such as "c1#3f2a".
type VoterID string

// NewVoterID returns the id of an instance with the identity that its folder holds.
func NewVoterID(instance Instance, identity string) VoterID {
	return VoterID(string(instance) + "#" + identity)
}

// Instance returns the instance's name.
func (id VoterID) Instance() Instance {
	name, _, _ := strings.Cut(string(id), "#")
	return Instance(name)
}

// DataCentre names a data centre.
type DataCentre string

// Region names a group of data centres.
type Region string

// MachineClass names a class of instance that the platform sells.
type MachineClass string

// Model names a language model as callers write it.
type Model string

// ModelVersion names one set of weights of a model.
type ModelVersion string

// Release names one version of the software that an upstream runs.
type Release string

// CallID identifies one accepted call over all its attempts.
type CallID string

// Fingerprint identifies what a caller asks for: equal requests of one account have the
// same one, whatever their call ids.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal, as logs show it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// CallRate is a number of calls a second.
type CallRate float64

// Life identifies one life of one upstream, from its start to its end.
type Life uint64

// lifeMix is odd and has its bits spread.
const lifeMix = 0x9e3779b97f4a7c15

// LifeOf returns the life of an upstream that started then.
func LifeOf(upstream Upstream, incarnation Incarnation) Life {
	return Life(xxhash.Sum64String(string(upstream)) ^ uint64(incarnation)*lifeMix)
}

// Term numbers a leadership period and serves as the fencing number of orders.
type Term uint64

// Index numbers a record of the replicated log, from 1.
type Index uint64

// Version numbers a configuration as operators submit it, from 1.
type Version uint64

// Incarnation numbers the lives of one named process; a higher one wins.
type Incarnation uint64

// Attempt numbers the tries of one call, from 1.
type Attempt uint32

// Tokens counts model tokens.
type Tokens int64

// Price is an amount of money per instance and hour, in the platform's currency.
type Price float64

// Cost returns the price of holding an instance for d.
func (p Price) Cost(d time.Duration) float64 {
	return float64(p) * d.Hours()
}
