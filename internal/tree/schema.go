package tree

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind is the type of a setting's value.
type Kind int

// The kinds of values.
const (
	KindDuration Kind = iota
	KindInt
	KindFloat
	KindBool
	KindText
	KindChoice
	// KindServiceRef is the name of a service that must exist in the tree.
	KindServiceRef
	// KindResourceRef is the name of a resource that must exist in the tree.
	KindResourceRef
	// KindSplit is a list of services with weights, for example "rota=90,rota-next=10". The services must exist in the
	// tree.
	KindSplit
	// KindDigests is a list of digests of keys, in hexadecimal digits and separated by spaces. It may be empty.
	KindDigests
)

// Spec is the schema of one setting.
type Spec struct {
	Key  string
	Kind Kind
	// Default applies if no branch sets the key. It is empty for settings without a default.
	Default string
	// Min and Max are the inclusive bounds of durations (in nanoseconds), integers and floats.
	Min, Max float64
	// Choices lists the valid values of a KindChoice setting.
	Choices []string
	// Levels lists the levels at which the key may be set. Nil allows every level except LevelResource and
	// LevelCustomer.
	Levels []Level
	// Help is a one-line description for operators.
	Help string
}

// The keys of the settings.
const (
	KeyCallTimeout         = "call.timeout"
	KeyRetryLimit          = "retry.limit"
	KeyRetryBudget         = "retry.budget"
	KeySpillThreshold      = "balance.spill"
	KeySlowStart           = "balance.slow-start"
	KeyEjectErrorRate      = "eject.error-rate"
	KeyEjectMaxShare       = "eject.max-share"
	KeyEjectTime           = "eject.time"
	KeyQueueLength         = "limit.queue"
	KeyCallerShare         = "limit.caller-share"
	KeyClaimRetention      = "claim.retention"
	KeyDrainTimeout        = "drain.timeout"
	KeyRateLimit           = "limit.rate"
	KeyFallback            = "service.fallback"
	KeyServiceVersion      = "service.version"
	KeyRouteMethod         = "route.method"
	KeyRoutePath           = "route.path"
	KeyRouteIdempotent     = "route.idempotent"
	KeyRouteHost           = "route.host"
	KeyRoutePrefix         = "route.prefix"
	KeyRouteSplit          = "route.split"
	KeyRouteAttempts       = "route.attempts"
	KeyRoutePriority       = "route.priority"
	KeyRouteObjective      = "route.objective"
	KeyCallerHeaderBytes   = "caller.header-bytes"
	KeyCallerBodyBytes     = "caller.body-bytes"
	KeyCallerHeaderTimeout = "caller.header-timeout"
	KeyCallerIdleTimeout   = "caller.idle-timeout"
	KeyServiceHealthPath   = "service.health-path"
	KeyServiceConnLimit    = "service.connections"
	KeyServiceColdStart    = "service.cold-start"
	KeyServiceColdRate     = "service.cold-rate"
	KeyMoveFirstShare      = "move.first-share"
	KeyMoveErrorMargin     = "move.error-margin"
	KeyMoveLatencyRatio    = "move.latency-ratio"
	KeyMoveWatch           = "move.watch"
	KeyMoveThinEvidence    = "move.thin-evidence"
	KeyResourceCallsRate   = "resource.calls-per-second"
	KeyResourceBurst       = "resource.burst"
	KeyRoutePublic         = "route.public"
	KeyRouteLongResponses  = "route.long-responses"
	KeyCallerAuthenticated = "caller.authenticated"
	KeyCustomerKeyDigests  = "customer.key-digests"
	KeyCustomerPriority    = "customer.priority"
	KeyCustomerRate        = "customer.calls-per-second"
	KeyCustomerBurst       = "customer.burst"
	KeyAdmissionInnerCalls = "admission.inner-calls"
	KeySiteEvacuated       = "site.evacuated"
	KeyNote                = "note"
)

// The choices of KeyMoveThinEvidence.
const (
	ThinEvidenceAdvance  = "advance"
	ThinEvidenceTakeBack = "take-back"
)

const (
	serviceOnly = LevelService
	routeOnly   = LevelRoute
	// customerOnly is the level of what is known of a customer.
	customerOnly = LevelCustomer
)

var specs = []Spec{
	{Key: KeyCallTimeout, Kind: KindDuration, Default: "2s", Min: float64(time.Millisecond), Max: float64(10 * time.Minute), Help: "longest time for a call, queueing and retries included"},
	{Key: KeyRetryLimit, Kind: KindInt, Default: "2", Min: 0, Max: 5, Help: "retries of one call at most"},
	{Key: KeyRetryBudget, Kind: KindFloat, Default: "0.1", Min: 0, Max: 1, Help: "retries as a share of calls"},
	{Key: KeySpillThreshold, Kind: KindFloat, Default: "0.8", Min: 0, Max: 1, Help: "utilisation of the own failure domain at which calls go to others"},
	{Key: KeySlowStart, Kind: KindDuration, Default: "10s", Min: 0, Max: float64(10 * time.Minute), Help: "time over which a started backend server gets its full share"},
	{Key: KeyEjectErrorRate, Kind: KindFloat, Default: "0.5", Min: 0, Max: 1, Help: "error rate at which a backend server is ejected"},
	{Key: KeyEjectMaxShare, Kind: KindFloat, Default: "0.5", Min: 0, Max: 1, Help: "share of a service's backend servers that may be ejected"},
	{Key: KeyEjectTime, Kind: KindDuration, Default: "10s", Min: float64(time.Second), Max: float64(time.Hour), Help: "time for which a backend server is ejected first"},
	{Key: KeyQueueLength, Kind: KindInt, Default: "64", Min: 0, Max: 10000, Help: "calls that may wait at a node for one service"},
	{Key: KeyCallerShare, Kind: KindFloat, Default: "0.5", Min: 0.01, Max: 1, Help: "share of a node's queue that one caller may hold"},
	{Key: KeyClaimRetention, Kind: KindDuration, Default: "10m", Min: float64(10 * time.Second), Max: float64(24 * time.Hour), Help: "time for which a resend of a finished request gets the first answer"},
	{Key: KeyDrainTimeout, Kind: KindDuration, Default: "30s", Min: float64(time.Second), Max: float64(time.Hour), Help: "time that a leaving backend server has to end its calls"},
	{Key: KeyRateLimit, Kind: KindResourceRef, Help: "resource that bounds the rate of calls"},
	{Key: KeyFallback, Kind: KindServiceRef, Levels: []Level{LevelService, LevelServiceSite}, Help: "service that takes the calls when this one has no backend server"},
	{Key: KeyServiceVersion, Kind: KindText, Levels: []Level{serviceOnly}, Help: "first backend server version of the service; later ones come by moves"},
	{Key: KeyRouteMethod, Kind: KindChoice, Choices: []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}, Levels: []Level{routeOnly}, Help: "HTTP method of the route"},
	{Key: KeyRoutePath, Kind: KindText, Levels: []Level{routeOnly}, Help: "path of the route; a trailing /* matches the rest"},
	{Key: KeyRouteIdempotent, Kind: KindBool, Default: "false", Levels: []Level{routeOnly}, Help: "whether a call may run more than once"},
	{Key: KeyRouteHost, Kind: KindText, Levels: []Level{routeOnly}, Help: "host of the calls, for a route by host and prefix; letter case, a port and a final dot do not count"},
	{Key: KeyRoutePrefix, Kind: KindText, Levels: []Level{routeOnly}, Help: "beginning of the path; of the routes of a host the longest one takes the call"},
	{Key: KeyRouteSplit, Kind: KindSplit, Levels: []Level{routeOnly}, Help: "services that share the calls, with weights"},
	{Key: KeyRouteAttempts, Kind: KindInt, Default: "2", Min: 1, Max: 100, Help: "backend servers that one call may be sent to"},
	{Key: KeyRoutePriority, Kind: KindInt, Default: "1", Min: 0, Max: 100, Help: "rank of the calls when there is no room for all, 0 first"},
	{Key: KeyRouteObjective, Kind: KindDuration, Default: "500ms", Min: float64(time.Millisecond), Max: float64(10 * time.Minute), Help: "latency objective of a call"},
	{Key: KeyCallerHeaderBytes, Kind: KindInt, Default: "65536", Min: 1, Max: 1 << 20, Levels: []Level{LevelGlobal}, Help: "longest header of a call"},
	{Key: KeyCallerBodyBytes, Kind: KindInt, Default: "67108864", Min: 0, Max: 1 << 40, Levels: []Level{LevelGlobal}, Help: "longest body of a call"},
	{Key: KeyCallerHeaderTimeout, Kind: KindDuration, Default: "10s", Min: float64(time.Millisecond), Max: float64(time.Hour), Levels: []Level{LevelGlobal}, Help: "time in which the header of a call must arrive"},
	{Key: KeyCallerIdleTimeout, Kind: KindDuration, Default: "1m", Min: float64(time.Millisecond), Max: float64(24 * time.Hour), Levels: []Level{LevelGlobal}, Help: "time after which an idle connection of a caller is closed"},
	{Key: KeyServiceHealthPath, Kind: KindText, Levels: []Level{serviceOnly}, Help: "path of the health check of the backend servers"},
	{Key: KeyServiceConnLimit, Kind: KindInt, Min: 0, Max: 1e6, Levels: []Level{serviceOnly}, Help: "connections that a backend server accepts"},
	{Key: KeyServiceColdStart, Kind: KindDuration, Min: 0, Max: float64(time.Hour), Levels: []Level{serviceOnly}, Help: "time for which a backend server is cold after its start"},
	{Key: KeyServiceColdRate, Kind: KindFloat, Min: 0, Max: 1e6, Levels: []Level{serviceOnly}, Help: "calls a second that a cold backend server can take, 0 for no limit"},
	{Key: KeyMoveFirstShare, Kind: KindFloat, Default: "0.05", Min: 0.001, Max: 0.25, Help: "share of calls at the first stage of a move"},
	{Key: KeyMoveErrorMargin, Kind: KindFloat, Default: "0.02", Min: 0.001, Max: 1, Help: "rise of the error rate at which a new version is bad"},
	{Key: KeyMoveLatencyRatio, Kind: KindFloat, Default: "2", Min: 1.1, Max: 100, Help: "ratio of call durations, new to old, at which a new version is bad"},
	{Key: KeyMoveWatch, Kind: KindDuration, Default: "5m", Min: float64(time.Second), Max: float64(24 * time.Hour), Help: "time for which a whole move is still judged"},
	{Key: KeyMoveThinEvidence, Kind: KindChoice, Default: ThinEvidenceTakeBack, Choices: []string{ThinEvidenceAdvance, ThinEvidenceTakeBack}, Help: "what happens at the deadline of a move with too little evidence"},
	{Key: KeyResourceCallsRate, Kind: KindFloat, Min: 0.1, Max: 1e6, Levels: []Level{LevelResource}, Help: "calls a second that a node may send"},
	{Key: KeyResourceBurst, Kind: KindInt, Default: "10", Min: 1, Max: 1e6, Levels: []Level{LevelResource}, Help: "calls that may come at once"},
	{Key: KeyRoutePublic, Kind: KindBool, Levels: []Level{routeOnly}, Help: "whether a call needs no key"},
	{Key: KeyRouteLongResponses, Kind: KindBool, Levels: []Level{routeOnly}, Help: "whether responses are long, so that the link of an instance limits the calls"},
	{Key: KeyCallerAuthenticated, Kind: KindBool, Levels: []Level{LevelGlobal}, Help: "whether calls need the key of a customer, but on public routes"},
	{Key: KeyCustomerKeyDigests, Kind: KindDigests, Levels: []Level{customerOnly}, Help: "digests of the customer's keys"},
	{Key: KeyCustomerPriority, Kind: KindInt, Min: 0, Max: 100, Levels: []Level{customerOnly}, Help: "rank of the customer's calls, in place of that of the route"},
	{Key: KeyCustomerRate, Kind: KindFloat, Min: 0, Max: 1e6, Levels: []Level{customerOnly}, Help: "calls a second that the customer may send to all nodes together, 0 for no limit"},
	{Key: KeyCustomerBurst, Kind: KindFloat, Min: 0, Max: 1e6, Levels: []Level{customerOnly}, Help: "calls that the customer may send at once beyond the rate"},
	{Key: KeyAdmissionInnerCalls, Kind: KindBool, Levels: []Level{LevelGlobal}, Help: "whether calls are admitted by the room of the services that their runs call"},
	{Key: KeySiteEvacuated, Kind: KindBool, Levels: []Level{LevelSite}, Help: "whether backend servers of the failure domain get no calls; set by the order of an evacuation"},
	{Key: KeyNote, Kind: KindText, Levels: []Level{LevelGlobal, LevelSite, LevelService, LevelServiceSite, LevelRoute, LevelRouteSite, LevelResource, LevelCustomer}, Help: "free text for operators"},
}

var specByKey = indexSpecs(specs)

func indexSpecs(list []Spec) map[string]*Spec {
	index := make(map[string]*Spec, len(list))
	for i := range list {
		index[list[i].Key] = &list[i]
	}
	return index
}

// Specs returns the schema of all settings, in the order in which documents list them.
func Specs() []Spec {
	return append([]Spec(nil), specs...)
}

// SpecOf returns the schema of one key, or false for an unknown key.
func SpecOf(key string) (Spec, bool) {
	spec, ok := specByKey[key]
	if !ok {
		return Spec{}, false
	}
	return *spec, true
}

// allowedAt reports whether the key may be set at a level.
func (s *Spec) allowedAt(level Level) bool {
	if s.Levels == nil {
		return level != LevelResource && level != LevelCustomer
	}
	for _, allowed := range s.Levels {
		if allowed == level {
			return true
		}
	}
	return false
}

// maxTextLength is the maximum length of a KindText value, in bytes.
const maxTextLength = 1024

// Canonical validates a value and returns its canonical text form.
func (s *Spec) Canonical(value string) (string, error) {
	switch s.Kind {
	case KindDuration:
		duration, err := time.ParseDuration(value)
		if err != nil {
			return "", errors.Errorf("%q is not a duration such as 250ms", value)
		}
		return duration.String(), s.inRange(float64(duration), time.Duration(s.Min).String(), time.Duration(s.Max).String())
	case KindInt:
		number, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return "", errors.Errorf("%q is not an integer", value)
		}
		return strconv.FormatInt(number, 10), s.inNumberRange(float64(number))
	case KindFloat:
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || number != number {
			return "", errors.Errorf("%q is not a number", value)
		}
		return strconv.FormatFloat(number, 'g', -1, 64), s.inNumberRange(number)
	case KindBool:
		flag, err := strconv.ParseBool(value)
		if err != nil {
			return "", errors.Errorf("%q is not true or false", value)
		}
		return strconv.FormatBool(flag), nil
	case KindChoice:
		return s.canonicalChoice(value)
	case KindSplit:
		split, err := ParseSplit(value)
		return split.String(), err
	case KindDigests:
		digests, err := ParseDigests(value)
		return strings.Join(digests, " "), err
	case KindServiceRef, KindResourceRef:
		if !validName(value) {
			return "", errors.Errorf("%q is not a name", value)
		}
		return value, nil
	}
	if value == "" || len(value) > maxTextLength {
		return "", errors.Errorf("text must have 1 to %d bytes", maxTextLength)
	}
	return value, nil
}

func (s *Spec) canonicalChoice(value string) (string, error) {
	for _, choice := range s.Choices {
		if value == choice {
			return value, nil
		}
	}
	return "", errors.Errorf("%q is not one of %v", value, s.Choices)
}

func (s *Spec) inNumberRange(number float64) error {
	return s.inRange(number, strconv.FormatFloat(s.Min, 'g', -1, 64), strconv.FormatFloat(s.Max, 'g', -1, 64))
}

func (s *Spec) inRange(number float64, low, high string) error {
	if number < s.Min || number > s.Max {
		return errors.Errorf("out of range %s to %s", low, high)
	}
	return nil
}
