package site_test

import (
	"os"
	"testing"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// TestGCPercentOfARole guards against a role that silently gets the percentage of another one, and against a
// default that replaces a setting or the environment of the process.
func TestGCPercentOfARole(t *testing.T) {
	for _, each := range []struct {
		role        rockwindpb.SiteRole
		setting     uint32
		environment string
		want        int
	}{
		{role: rockwindpb.SiteRole_SITE_ROLE_ROUTER, want: site.RouterGCPercent},
		{role: rockwindpb.SiteRole_SITE_ROLE_STORE, want: site.StoreGCPercent},
		{role: rockwindpb.SiteRole_SITE_ROLE_COORDINATOR, want: 0},
		{role: rockwindpb.SiteRole_SITE_ROLE_ROUTER, setting: 80, want: 80},
		{role: rockwindpb.SiteRole_SITE_ROLE_COORDINATOR, setting: 80, want: 80},
		{role: rockwindpb.SiteRole_SITE_ROLE_ROUTER, environment: "200", want: 0},
		{role: rockwindpb.SiteRole_SITE_ROLE_STORE, environment: "200", want: 0},
		{role: rockwindpb.SiteRole_SITE_ROLE_STORE, environment: "200", setting: 80, want: 80},
	} {
		// Setenv restores the variable at the end of the test.
		t.Setenv("GOGC", each.environment)
		if each.environment == "" {
			if err := os.Unsetenv("GOGC"); err != nil {
				t.Fatal(err)
			}
		}
		if got := site.GCPercent(&rockwindpb.SiteSettings{Role: each.role, GcPercent: each.setting}); got != each.want {
			t.Errorf("%v with the setting %d and GOGC=%q: %d instead of %d", each.role, each.setting, each.environment, got, each.want)
		}
	}
}
