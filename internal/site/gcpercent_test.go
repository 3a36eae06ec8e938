package site_test

import (
	"os"
	"runtime/debug"
	"testing"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// Guards against a store that runs with the runtime's GC percentage, and against a default of the role that
// overrides the settings or the environment.
func TestGCPercentFollowsSettingsThenEnvironmentThenRole(t *testing.T) {
	const store, router = rockwindpb.SiteRole_SITE_ROLE_STORE, rockwindpb.SiteRole_SITE_ROLE_ROUTER
	const initial = 77
	previous := debug.SetGCPercent(initial)
	defer debug.SetGCPercent(previous)
	for _, each := range []struct {
		role        rockwindpb.SiteRole
		setting     uint32
		environment string
		want        int
	}{
		{store, 0, "", 50},
		{store, 0, "200", initial},
		{store, 30, "200", 30},
		{router, 0, "", initial},
		{router, 40, "", 40},
	} {
		t.Setenv("GOGC", each.environment)
		if each.environment == "" {
			if err := os.Unsetenv("GOGC"); err != nil {
				t.Fatal(err)
			}
		}
		site.SetMemoryLimit(&rockwindpb.SiteSettings{Role: each.role, GcPercent: each.setting})
		if got := debug.SetGCPercent(initial); got != each.want {
			t.Errorf("%v with gc_percent %d and GOGC %q: %d, want %d", each.role, each.setting, each.environment, got, each.want)
		}
	}
}
