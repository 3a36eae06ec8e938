package coordinator

import (
	"context"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// featureOpen reports whether all coordinators have announced a feature level: those of the
// directory, and all members of the root group. A member that is silent is removed from the directory
// but still applies commands when it returns.
func (c *Coordinator) featureOpen(view *rootView, level uint32) bool {
	names, err := c.gatingCoordinators(view)
	return err == nil && view.levels.Open(level, names)
}

// gatingCoordinators returns the coordinators whose feature levels are considered, possibly several times.
func (c *Coordinator) gatingCoordinators(view *rootView) ([]string, error) {
	group, _, err := c.rootGroup()
	if err != nil {
		return nil, err
	}
	var names []string
	for _, machine := range view.directory.WithRole(rockwindpb.SiteRole_SITE_ROLE_COORDINATOR) {
		names = append(names, machine.GetName())
	}
	for _, member := range group.Status().GetMembership().GetMembers() {
		names = append(names, member.GetMachine())
	}
	return names, nil
}

const (
	// featureWait is how long an operator's command waits for coordinators that have not announced its
	// feature level. One that has just started announces it within two rounds of maintenance. Callers
	// that wait 900 ms for an answer still receive the refusal.
	featureWait = 2 * maintenanceInterval
	// featureRetryAfter is after what time a refused command is worth a repeat: an announcement that
	// failed is repeated at this interval.
	featureRetryAfter = announceInterval
)

// awaitFeature waits until all coordinators have announced a feature level. It returns a fault that
// names the missing ones if they don't for featureWait.
func (c *Coordinator) awaitFeature(ctx context.Context, level uint32, command string) error {
	for began := time.Now(); ; {
		_, view, err := c.currentState()
		if err != nil {
			return err
		}
		refusal := c.featureRefusal(view, level, command)
		if refusal == nil || time.Since(began) >= featureWait || !retry.Pause(ctx, leaderRetryInterval) {
			return refusal
		}
	}
}

// featureRefusal returns the fault for a command whose feature level some coordinators have not
// announced, nil if all have.
func (c *Coordinator) featureRefusal(view *rootView, level uint32, command string) error {
	names, err := c.gatingCoordinators(view)
	if err != nil {
		return err
	}
	if view.levels.Open(level, names) {
		return nil
	}
	return fault.Newf(fault.Unavailable, "run this version on all coordinators, then repeat the command",
		"%s needs feature level %d, which these coordinators have not announced: %s", command, level, strings.Join(view.levels.Missing(level, names), ", ")).
		WithRan(fault.NotRun).WithRetryAfter(featureRetryAfter).WithFeatureLevel(level)
}

// splitFeatureRefusal separates the refusal of a command by its feature level from other errors. The
// refusal is an answer: repeating the call at once or at another coordinator would return the same.
func splitFeatureRefusal(err error) (refusal *fault.Fault, other error) {
	if failure := fault.From(err); failure != nil && failure.FeatureLevel != 0 {
		return failure, nil
	}
	return nil, err
}

// knowsMachine reports whether an announcement would change nothing, neither the directory nor the
// feature level of a coordinator.
func (v *rootView) knowsMachine(announced *rockwindpb.Machine) bool {
	coordinator := announced.GetRole() == rockwindpb.SiteRole_SITE_ROLE_COORDINATOR
	return v.directory.KnowsMachine(announced) && (!coordinator || v.levels.Of(announced.GetName()) == announced.GetFeatureLevel())
}

// announcesLevel reports whether the leader must receive an announcement although the directory knows the machine:
// the feature level of a coordinator may have changed. That of a store matters only for the founding.
func announcesLevel(announced *rockwindpb.Machine) bool {
	return announced.GetRole() != rockwindpb.SiteRole_SITE_ROLE_STORE && announced.GetFeatureLevel() != 0
}
