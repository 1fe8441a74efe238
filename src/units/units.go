package units

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Brand names a brand under which operators resell the services.
type Brand string

// Account names a client account of a brand.
type Account string

// Service names a service: a pool of model engines or a plain application.
type Service string

// Upstream names one backend that announces itself to the system.
type Upstream string

// Instance names one machine of the system or of the platform.
type Instance string

// VoterID identifies an instance together with its data folder, such as "c1#3f2a"; an
// instance with a new data folder has another one.
type VoterID string

// NewVoterID returns the id of an instance with the identity stored in its data folder.
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

// MachineClass names a class of instances that the platform offers.
type MachineClass string

// Model names a language model as requests name it.
type Model string

// ModelVersion names one set of weights of a model.
type ModelVersion string

// Release names one version of the software that an upstream runs.
type Release string

// CallID identifies one accepted call across all its attempts.
type CallID string

// Fingerprint identifies the content of a request: equal requests of one account have
// the same fingerprint regardless of their call ids.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal, as logs show it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// PromptPart identifies a part of a prompt that the prompts of other requests may share.
type PromptPart uint64

// String returns the part in hexadecimal, as callers write it.
func (p PromptPart) String() string { return strconv.FormatUint(uint64(p), 16) }

// CallRate is a number of calls per second.
type CallRate float64

// IncarnationID identifies one incarnation of one upstream; it is a hash of both.
type IncarnationID uint64

// incarnationMultiplier is odd, so that different incarnations have different products, and
// has its bits spread, so that small incarnations change all bits of an IncarnationID.
const incarnationMultiplier = 0x9e3779b97f4a7c15

// NewIncarnationID returns the id of an incarnation of an upstream.
func NewIncarnationID(upstream Upstream, incarnation Incarnation) IncarnationID {
	return IncarnationID(xxhash.Sum64String(string(upstream)) ^ uint64(incarnation)*incarnationMultiplier)
}

// Term numbers a leadership period and serves as the fencing number of orders.
type Term uint64

// Index numbers a record of the replicated log, from 1.
type Index uint64

// Version numbers a configuration, from 1; operators assign it.
type Version uint64

// Incarnation numbers the starts of one named process; a higher one supersedes a lower one.
type Incarnation uint64

// Attempt numbers the attempts of one call, from 1.
type Attempt uint32

// Tokens counts model tokens.
type Tokens int64

// Price is an amount of money per instance and hour, in the platform's currency.
type Price float64

// Cost returns the price of holding an instance for d.
func (p Price) Cost(d time.Duration) float64 {
	return float64(p) * d.Hours()
}
