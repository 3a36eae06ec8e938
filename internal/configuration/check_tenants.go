package configuration

import (
	"crypto/sha256"
	"math"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// keyHashLength is the length of an API key's hexadecimal SHA-256.
const keyHashLength = 2 * sha256.Size

func (c *checker) checkTenants() {
	names := c.newNameChecker("tenant")
	owners := make(map[string]string)
	for i, tenant := range c.configuration.GetTenants() {
		path := []Step{element("tenants", i)}
		names.check(tenant.GetName(), c.at(path, field("name")))
		if tenant.GetGroup() != "" || len(c.groups) > 0 {
			c.checkGroupName("the tenant", tenant.GetGroup(), c.at(path, field("group")))
		}
		c.checkKeys(tenant, path, owners)
		c.checkLimits(tenant.GetLimits(), append(path, field("limits")))
	}
}

func (c *checker) checkKeys(tenant *rockwindpb.Tenant, path []Step, owners map[string]string) {
	for i, hash := range tenant.GetApiKeySha256() {
		at := c.at(path, element("api_key_sha256", i))
		if !isKeyHash(hash) {
			c.problems.addf(at, "write the key's SHA-256 as 64 lower-case hexadecimal digits; never the key itself",
				"an API key of tenant %q is not a SHA-256 hash", abbreviate(tenant.GetName()))
			continue
		}
		if owner, taken := owners[hash]; taken {
			c.problems.addf(at, "give each tenant keys of its own", "this API key belongs to tenant %q already", abbreviate(owner))
			continue
		}
		owners[hash] = tenant.GetName()
	}
}

func isKeyHash(text string) bool {
	if len(text) != keyHashLength {
		return false
	}
	for i := range len(text) {
		digit := text[i] >= '0' && text[i] <= '9'
		letter := text[i] >= 'a' && text[i] <= 'f'
		if !digit && !letter {
			return false
		}
	}
	return true
}

func (c *checker) checkLimits(limits *rockwindpb.Limits, path []Step) {
	c.checkLimit(limits.GetRequestsPerSecond(), c.at(path, field("requests_per_second")))
	c.checkLimit(limits.GetTokensPerSecond(), c.at(path, field("tokens_per_second")))
}

func (c *checker) checkLimit(value float64, at Position) {
	if !inRange(value, 0, math.MaxFloat64) {
		c.problems.addf(at, "write a number above 0, or leave it out for no limit", "the limit is %v", value)
	}
}
