package scale

import "fmt"

// Size of the fleet that is planned for.
const (
	regions        = 8
	zonesPerRegion = 4
	zoneCount      = regions * zonesPerRegion
)

// Size is how large a run is.
type Size struct {
	// Daemons is the number of gateways, Servers that of model servers.
	Daemons int `json:"daemons"`
	Servers int `json:"servers"`
	// Tenants and Models are what the configuration holds of them.
	Tenants int `json:"tenants"`
	Models  int `json:"models"`
	// Controls is the number of control machines, Shards that of the job shards.
	Controls int `json:"controls"`
	Shards   int `json:"shards"`
	// Jobs is how many batch jobs wait, with JobItems items each. They ask for a
	// model that no server holds, so nothing takes them up.
	Jobs     int `json:"jobs"`
	JobItems int `json:"job_items"`
}

// zoneName names the zone of the given number; zones of a region follow each
// other.
func zoneName(zone int) string {
	return fmt.Sprintf("region-%d-zone-%d", zone/zonesPerRegion, zone%zonesPerRegion)
}

// spreadZone is the zone of the member of the given number, when members are
// given to the regions in turn and then to the zones of each.
func spreadZone(number int) int {
	region := number % regions
	return region*zonesPerRegion + (number/regions)%zonesPerRegion
}

// inZone lists the numbers below count that stand in a zone.
func inZone(zone, count int) []int {
	var numbers []int
	for number := range count {
		if spreadZone(number) == zone {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

func daemonName(number int) string  { return fmt.Sprintf("gateway-%03d", number) }
func serverName(number int) string  { return fmt.Sprintf("engine-%04d", number) }
func controlName(number int) string { return fmt.Sprintf("control-%02d", number) }
func tenantName(number int) string  { return fmt.Sprintf("tenant-%05d", number) }
func modelName(number int) string   { return fmt.Sprintf("model-%02d", number) }

// names applies a naming to numbers.
func names(numbers []int, name func(int) string) []string {
	result := make([]string, 0, len(numbers))
	for _, number := range numbers {
		result = append(result, name(number))
	}
	return result
}

// lostZone is the zone that a run loses: the first that holds a control machine,
// daemons and servers, but not the first control machine of all, so that the
// control machines stay the same in runs of every size.
func lostZone(size Size) int {
	return spreadZone(min(1, size.Controls-1))
}

// lostRegion is the region that a run loses. It holds a replica of the root group
// and none of the gateways that carry the online load.
const lostRegion = 3
