package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/soak/backend"
	"rockwind.example/rockwind/internal/bench/soak/witness"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// floodingTenant sends far more than its rate limit, modestTenant a fifth of it.
	// unknownTenant stands for callers with an API key that no configuration holds.
	floodingTenant = "flooding"
	modestTenant   = "modest"
	unknownTenant  = "stranger"
	// tenantRate and tenantBurst limit each tenant, in requests per second and requests.
	tenantRate  = 30.0
	tenantBurst = 20
	// floodCallers is the number of concurrent callers of floodingTenant, and floodPause the
	// maximum time between two requests of one: about 150 requests per second in total.
	floodCallers = 4
	floodPause   = 20 * time.Millisecond
	// modestPause is the maximum time between two requests of modestTenant, and
	// unknownTenantPause that of unknownTenant.
	modestPause        = 300 * time.Millisecond
	unknownTenantPause = time.Second
)

// tenants returns the tenants of the configuration, each with one API key.
func tenants() []*rockwindpb.Tenant {
	var all []*rockwindpb.Tenant
	for _, name := range []string{floodingTenant, modestTenant} {
		all = append(all, &rockwindpb.Tenant{
			Name: name, ApiKeySha256: []string{fleet.KeyHash(fleet.APIKey(name))},
			Limits: &rockwindpb.Limits{RequestsPerSecond: tenantRate, RequestBurst: tenantBurst},
		})
	}
	return all
}

// tenantCaller sends requests with the API key of a tenant.
type tenantCaller struct {
	*caller
	tenant string
	pause  time.Duration
}

func newTenantCaller(run *run, number int, tenant string, pause time.Duration) *tenantCaller {
	return &tenantCaller{caller: newCaller(run, number), tenant: tenant, pause: pause}
}

// tenantCallers sets the rate limits in the witness and returns the callers of all tenants.
func (r *run) tenantCallers() []*tenantCaller {
	for _, tenant := range tenants() {
		r.witness.SetRateLimit(tenant.GetName(), witness.NewRate(tenantRate, tenantBurst))
	}
	first := callers + slowReaders
	all := []*tenantCaller{
		newTenantCaller(r, first, modestTenant, modestPause),
		newTenantCaller(r, first+1, unknownTenant, unknownTenantPause),
	}
	for number := range floodCallers {
		all = append(all, newTenantCaller(r, first+len(all)+number, floodingTenant, floodPause))
	}
	return all
}

// call sends requests until the context ends.
func (c *tenantCaller) call(ctx context.Context) {
	for retry.Pause(ctx, time.Duration(c.random.Int64N(int64(c.pause)))) {
		c.request(ctx)
	}
}

func (c *tenantCaller) request(ctx context.Context) {
	c.sent++
	id := fmt.Sprintf("tenant-%s-%d-%d", c.tenant, c.number, c.sent)
	callCtx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	request, err := newRequest(callCtx, c.run.site.randomRouter(c.random), backend.PathTenant+id, id, id, callerTimeout)
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+fleet.APIKey(c.tenant))
	sent := c.run.elapsed()
	c.run.witness.SentForTenant(c.tenant, id, sent)
	response, err := c.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil {
		c.check(id, sent, answer{status: response.StatusCode, body: string(body)})
	}
}

// check records in the witness what an answer shows.
func (c *tenantCaller) check(id string, sent time.Duration, got answer) {
	w, now := c.run.witness, c.run.elapsed()
	w.Count(fmt.Sprintf("requests of tenant %s: status %d", c.tenant, got.status))
	switch got.status {
	case http.StatusOK:
		if got.body != backend.Answer(id) {
			w.Report(witness.WrongAnswer, id, fmt.Sprintf("%q", got.body), now)
		}
	case http.StatusUnauthorized:
		if c.tenant != unknownTenant {
			w.Report(witness.Denied, id, got.body, now)
		}
		w.Refused(id, now)
	case http.StatusTooManyRequests:
		w.Refused(id, now)
		if c.tenant == modestTenant && c.run.faults.quietSince(sent) {
			w.Report(witness.RefusedWithinRate, id, got.body, now)
		}
	case http.StatusServiceUnavailable:
		w.Refused(id, now)
	}
}
