package scale

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	modelVersion = "v1"
	// onlineModel is served by the engines that answer requests.
	onlineModel = "answering"
	groupCount  = 4
	// firstLimitedTenant is the first tenant that has limits; the one before it
	// sends the online load.
	firstLimitedTenant = 1
	// limits of each tenant.
	tenantRequests    = 20
	tenantConcurrency = 16
	tenantTokens      = 8000
	// adaptersPerModel is how many adapters a model has.
	adaptersPerModel   = 2
	contextTokens      = 32768
	acceleratorsServer = 4
	retention          = 24 * time.Hour
	retryRatio         = 0.1
	stepTarget         = 40 * time.Millisecond
	queueTimeout       = 2 * time.Second
)

// backEnd is a server as the configuration needs it.
type backEnd struct {
	name, address, zone, model string
}

// tenantKey is the API key of a tenant.
func tenantKey(tenant string) string { return "key-of-" + tenant }

func groupName(number int) string { return "group-" + string(rune('a'+number%groupCount)) }

// firstConfiguration is the configuration of a size over the given back ends.
func firstConfiguration(size Size, backEnds []backEnd) *rockwindpb.Configuration {
	configuration := &rockwindpb.Configuration{
		Number: 1,
		Policy: &rockwindpb.Policy{
			ResultRetention: durationpb.New(retention), IdempotencyRetention: durationpb.New(retention),
			RetryRatio: retryRatio, OnlineStepTarget: durationpb.New(stepTarget),
			OnlineQueueTimeout: durationpb.New(queueTimeout),
		},
		BatchClasses: []*rockwindpb.BatchClass{{Name: "overnight", Tries: 5, Deadline: durationpb.New(retention), Weight: 1}},
	}
	for number := range groupCount {
		configuration.Groups = append(configuration.Groups, &rockwindpb.Group{
			Name: groupName(number), Share: 1, Objective: rockwindpb.Objective_OBJECTIVE_THROUGHPUT,
		})
	}
	for number := range size.Tenants {
		configuration.Tenants = append(configuration.Tenants, tenant(number))
		if number < firstLimitedTenant {
			configuration.Tenants[number].Limits = nil
		}
	}
	for number := range size.Models {
		configuration.Models = append(configuration.Models, model(modelName(number)))
	}
	configuration.Models = append(configuration.Models, model(onlineModel))
	setBackEnds(configuration, backEnds)
	return configuration
}

func tenant(number int) *rockwindpb.Tenant {
	name := tenantName(number)
	hash := sha256.Sum256([]byte(tenantKey(name)))
	return &rockwindpb.Tenant{
		Name: name, Group: groupName(number), ApiKeySha256: []string{hex.EncodeToString(hash[:])},
		Limits: &rockwindpb.Limits{
			RequestsPerSecond: tenantRequests, Concurrency: tenantConcurrency, TokensPerSecond: tenantTokens,
		},
	}
}

func model(name string) *rockwindpb.Model {
	built := &rockwindpb.Model{
		Name: name, ContextTokens: contextTokens,
		Versions: []*rockwindpb.Version{{Name: modelVersion, Weight: 100, WeightsId: name + "-" + modelVersion}},
	}
	for number := range adaptersPerModel {
		built.Adapters = append(built.Adapters, "adapter-"+string(rune('a'+number)))
	}
	return built
}

func setBackEnds(configuration *rockwindpb.Configuration, backEnds []backEnd) {
	configuration.BackEnds = nil
	for _, each := range backEnds {
		configuration.BackEnds = append(configuration.BackEnds, &rockwindpb.BackEnd{
			Name: each.name, Kind: rockwindpb.BackEndKind_BACK_END_KIND_ENGINE,
			Address: each.address, Zone: each.zone, Serves: []string{each.model}, Accelerators: acceleratorsServer,
		})
	}
}

// next returns the configuration after the given one, in which the limits of one
// tenant changed.
func next(configuration *rockwindpb.Configuration) *rockwindpb.Configuration {
	changed := proto.CloneOf(configuration)
	changed.Number++
	number := firstLimitedTenant + int(changed.GetNumber())%(len(changed.GetTenants())-firstLimitedTenant)
	changed.GetTenants()[number].Limits.Concurrency = tenantConcurrency + uint32(changed.GetNumber())
	return changed
}
