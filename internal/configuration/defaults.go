package configuration

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Defaults of optional values.
const (
	DefaultObjective            = rockwindpb.Objective_OBJECTIVE_THROUGHPUT
	DefaultServiceTimeout       = 30 * time.Second
	DefaultBatchDeadline        = 24 * time.Hour
	DefaultBatchWeight          = 1.0
	DefaultAccelerators         = 1
	DefaultResultRetention      = 30 * 24 * time.Hour
	DefaultRetryRatio           = 0.1
	DefaultOnlineStepTarget     = 50 * time.Millisecond
	DefaultOnlineQueueTimeout   = 5 * time.Second
	DefaultIdempotencyRetention = 24 * time.Hour
)

// Normalise sets the defaults and sorts the objects of each kind by name, so that
// equal configurations have equal checksums. It modifies its argument and is
// idempotent.
func Normalise(configuration *rockwindpb.Configuration) {
	for _, group := range configuration.GetGroups() {
		if group.Objective == rockwindpb.Objective_OBJECTIVE_UNSPECIFIED {
			group.Objective = DefaultObjective
		}
	}
	for _, service := range configuration.GetServices() {
		defaultDuration(&service.Timeout, DefaultServiceTimeout)
	}
	for _, class := range configuration.GetBatchClasses() {
		defaultDuration(&class.Deadline, DefaultBatchDeadline)
		defaultNumber(&class.Weight, DefaultBatchWeight)
	}
	for _, backEnd := range configuration.GetBackEnds() {
		if backEnd.GetKind() == rockwindpb.BackEndKind_BACK_END_KIND_ENGINE && backEnd.Accelerators == 0 {
			backEnd.Accelerators = DefaultAccelerators
		}
	}
	if configuration.Policy == nil {
		configuration.Policy = &rockwindpb.Policy{}
	}
	normalisePolicy(configuration.Policy)
	sortObjects(configuration)
}

func defaultPolicy() *rockwindpb.Policy {
	policy := &rockwindpb.Policy{}
	normalisePolicy(policy)
	return policy
}

func normalisePolicy(policy *rockwindpb.Policy) {
	defaultDuration(&policy.ResultRetention, DefaultResultRetention)
	defaultNumber(&policy.RetryRatio, DefaultRetryRatio)
	defaultDuration(&policy.OnlineStepTarget, DefaultOnlineStepTarget)
	defaultDuration(&policy.OnlineQueueTimeout, DefaultOnlineQueueTimeout)
	defaultDuration(&policy.IdempotencyRetention, DefaultIdempotencyRetention)
}

func defaultDuration(value **durationpb.Duration, fallback time.Duration) {
	if *value == nil {
		*value = durationpb.New(fallback)
	}
}

func defaultNumber(value *float64, fallback float64) {
	if *value == 0 {
		*value = fallback
	}
}

type named interface{ GetName() string }

func sortObjects(configuration *rockwindpb.Configuration) {
	sortByName(configuration.Groups)
	sortByName(configuration.Tenants)
	sortByName(configuration.Models)
	sortByName(configuration.Services)
	sortByName(configuration.BatchClasses)
	sortByName(configuration.BackEnds)
	sortByName(configuration.Routes)
}

func sortByName[T named](objects []T) {
	slices.SortStableFunc(objects, func(a, b T) int { return strings.Compare(a.GetName(), b.GetName()) })
}
