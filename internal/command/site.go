package command

import (
	"rockwind.example/rockwind/internal/coordinator"
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/settings"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/store"
)

// siteCommand is 'rockwind site'.
type siteCommand struct {
	daemonFlags
}

// Help implements kong.HelpProvider.
func (*siteCommand) Help() string {
	return `Runs one process of a site, in the role that its settings name, until SIGTERM or SIGINT. The
processes find each other through the seeds, the internal addresses of some coordinators.
Configurations are applied with 'rockwind apply' at a coordinator; servers report to the
DirectoryService there; clients read and end batch jobs at any router. SIGUSR1 writes the last log entries to standard error.`
}

// Run runs the process in the role that its settings name.
func (c *siteCommand) Run(s *session) error {
	loaded, err := settings.LoadSite(c.Settings, c.Set)
	if err != nil {
		return err
	}
	return s.runWithLogRing(func(*logring.Ring) error { return runSite(s, loaded) })
}

func runSite(s *session, loaded *rockwindpb.SiteSettings) error {
	switch loaded.GetRole() {
	case rockwindpb.SiteRole_SITE_ROLE_COORDINATOR:
		return coordinator.Run(s.context, loaded, nil, coordinator.WithIdentifier(site.HTTPIdentifier(router.PlainProtocol{}.IdentityHeaders())))
	case rockwindpb.SiteRole_SITE_ROLE_STORE:
		return store.Run(s.context, loaded, router.PlainProtocol{})
	}
	return router.Run(s.context, loaded, router.PlainProtocol{}, router.PlainHandler)
}
