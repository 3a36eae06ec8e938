package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Plan says what a fleet is made of.
type Plan struct {
	// Controls, Gateways, Engines and Services count the processes.
	Controls, Gateways, Engines, Services int
	// Shards counts the replica groups that own jobs.
	Shards int
	// Zones are given to processes in turn.
	Zones []string
	// EngineArguments are passed to every engine stand-in.
	EngineArguments []string
	// ControlArguments are passed to every control daemon.
	ControlArguments []string
	// GatewayArguments are passed to every gateway.
	GatewayArguments []string
	// Tenants is how many tenants each group has.
	Tenants int
	// WithPlatform starts the platform stand-in and points gateways at it.
	WithPlatform bool
	// Detached lets the processes outlive the program that starts them.
	Detached bool
}

// The groups, models and services of a planned fleet.
const (
	GroupScheduling = "scheduling"
	GroupPuzzles    = "puzzles"
	ModelName       = "assistant-7b"
	ModelVersion    = "v1"
	ModelWeights    = "assistant-7b-v1"
	ServiceName     = "availability"
	ServiceVersion  = "v1"
	BatchClass      = "overnight"
)

// DefaultPlan is the demonstration fleet.
func DefaultPlan() Plan {
	return Plan{
		Controls: 3, Gateways: 3, Engines: 4, Services: 2, Shards: 2, Tenants: 2,
		Zones: []string{"zone-a", "zone-b", "zone-c"},
	}
}

// Groups lists the groups of a planned fleet.
func Groups() []string { return []string{GroupScheduling, GroupPuzzles} }

// TenantName names the tenant of the given number in a group.
func TenantName(group string, number int) string {
	return fmt.Sprintf("%s-tenant-%d", group, number)
}

// APIKey is the key of a tenant in a planned fleet. It is derived from the name
// so that tools find it; real keys are random.
func APIKey(tenant string) string { return "demo-key-" + tenant }

// KeyHash is the form of an API key that a configuration holds.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// defaults of the planned configuration.
const (
	planTries            = 5
	planDeadline         = 12 * time.Hour
	planRetention        = 24 * time.Hour
	planRetryRatio       = 0.1
	planStepTarget       = 40 * time.Millisecond
	planQueueTimeout     = 2 * time.Second
	planContextTokens    = 8192
	planServiceTimeout   = 5 * time.Second
	planEngineBoards     = 4
	schedulingShare      = 2
	puzzlesShare         = 3
	versionWeight        = 100
	batchClassWeight     = 1
	idempotencyRetention = 24 * time.Hour
)

// configuration builds the configuration numbered number over the back ends.
func (p Plan) configuration(number uint64, backEnds []*rockwindpb.BackEnd) *rockwindpb.Configuration {
	configuration := &rockwindpb.Configuration{
		Number: number,
		Groups: []*rockwindpb.Group{
			{Name: GroupScheduling, Share: schedulingShare, Objective: rockwindpb.Objective_OBJECTIVE_THROUGHPUT},
			{Name: GroupPuzzles, Share: puzzlesShare, Objective: rockwindpb.Objective_OBJECTIVE_LATENCY},
		},
		Models: []*rockwindpb.Model{{
			Name:          ModelName,
			Versions:      []*rockwindpb.Version{{Name: ModelVersion, Weight: versionWeight, WeightsId: ModelWeights}},
			ContextTokens: planContextTokens,
		}},
		Services: []*rockwindpb.Service{{
			Name: ServiceName, Group: GroupScheduling,
			Versions: []*rockwindpb.Version{{Name: ServiceVersion, Weight: versionWeight}},
			Timeout:  durationpb.New(planServiceTimeout),
		}},
		BatchClasses: []*rockwindpb.BatchClass{{
			Name: BatchClass, Tries: planTries, Deadline: durationpb.New(planDeadline), Weight: batchClassWeight,
		}},
		BackEnds: backEnds,
		Policy: &rockwindpb.Policy{
			ResultRetention:      durationpb.New(planRetention),
			RetryRatio:           planRetryRatio,
			OnlineStepTarget:     durationpb.New(planStepTarget),
			OnlineQueueTimeout:   durationpb.New(planQueueTimeout),
			IdempotencyRetention: durationpb.New(idempotencyRetention),
		},
	}
	for _, group := range Groups() {
		for number := range p.Tenants {
			name := TenantName(group, number)
			configuration.Tenants = append(configuration.Tenants, &rockwindpb.Tenant{
				Name: name, Group: group, ApiKeySha256: []string{KeyHash(APIKey(name))},
			})
		}
	}
	return configuration
}
