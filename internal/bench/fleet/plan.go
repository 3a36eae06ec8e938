package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Plan describes the processes and settings of a fleet.
type Plan struct {
	// Controls, Gateways, Engines and Services are the numbers of processes.
	Controls, Gateways, Engines, Services int
	// Shards is the number of replica groups that own jobs.
	Shards int
	// Zones are assigned to processes round robin.
	Zones []string
	// EngineArguments are passed to every engine stand-in.
	EngineArguments []string
	// ControlArguments are passed to every control daemon.
	ControlArguments []string
	// GatewayArguments are passed to every gateway.
	GatewayArguments []string
	// Tenants is the number of tenants of each group.
	Tenants int
	// WithPlatform starts the platform stand-in and configures gateways to use it.
	WithPlatform bool
	// Detached lets the processes outlive the program that starts them.
	Detached bool
}

// Names in the configuration of a fleet.
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

// DefaultPlan returns the plan of the demonstration fleet.
func DefaultPlan() Plan {
	return Plan{
		Controls: 3, Gateways: 3, Engines: 4, Services: 2, Shards: 2, Tenants: 2,
		Zones: []string{"zone-a", "zone-b", "zone-c"},
	}
}

// Groups lists the groups of a fleet.
func Groups() []string { return []string{GroupScheduling, GroupPuzzles} }

// TenantName returns the name of a tenant of a group.
func TenantName(group string, number int) string {
	return fmt.Sprintf("%s-tenant-%d", group, number)
}

// APIKey returns the API key of a tenant. It is derived from the name, so that tools can
// compute it; real keys are random.
func APIKey(tenant string) string { return "demo-key-" + tenant }

// KeyHash returns the hash of an API key that configurations hold.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Values of the configuration.
const (
	planTries            = 5
	planDeadline         = 12 * time.Hour
	planRetention        = 24 * time.Hour
	planRetryRatio       = 0.1
	planStepTarget       = 40 * time.Millisecond
	planQueueTimeout     = 2 * time.Second
	planContextTokens    = 8192
	planServiceTimeout   = 5 * time.Second
	planAccelerators     = 4
	schedulingShare      = 2
	puzzlesShare         = 3
	versionWeight        = 100
	batchClassWeight     = 1
	idempotencyRetention = 24 * time.Hour
)

// configuration builds the configuration with the given number and backends.
func (p Plan) configuration(number uint64, backends []*rockwindpb.BackEnd) *rockwindpb.Configuration {
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
		BackEnds: backends,
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
