package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/bench/soak/witness"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// Beside the replicas of the groups a soak with replacements has spare processes with a disk, and reserve ones
	// that come in the place of those that are lost for good.
	coordinatorsWithSpare = 6
	storesWithSpare       = 4
	reserves              = 4
	// goneReplacedAfter is how long after the loss of a process for good another one comes.
	goneReplacedAfter = 2 * time.Second
	// wholeWithin is how long after a loss a group may be short of members.
	wholeWithin    = 3 * time.Second
	metricsTimeout = 500 * time.Millisecond
	// remainingSeeds is how many seeds are not lost for good: processes that start ask them for the others.
	remainingSeeds = 1
	// unrestrictedShards is the number of shards that any store may hold; they come before those of the regions.
	unrestrictedShards = storesWithSpare
)

// replacementKinds are the kinds of fault of a series of replacements.
var replacementKinds = []Kind{KindKill, KindTornWrite, KindWipeDisk, KindPause, KindStop, KindDropAll, KindGone}

// replaceInSeries lets processes with a disk be lost one after the other, for a while or for good, and checks that the
// groups are whole in time after each loss.
func (r *run) replaceInSeries(ctx context.Context, steps int) {
	random := rand.New(rand.NewPCG(r.seed, uint64(len("replacements"))))
	for range steps {
		role := rockwindpb.SiteRole_SITE_ROLE_STORE
		if random.IntN(3) == 0 {
			role = rockwindpb.SiteRole_SITE_ROLE_COORDINATOR
		}
		running := r.site.withRole(role)
		target := running[random.IntN(len(running))]
		fault := Fault{kind: replacementKinds[random.IntN(len(replacementKinds))], duration: between(random, minimumDuration, maximumDuration)}
		if fault.kind == KindGone && !r.mayBeGone(target) {
			fault.kind = KindKill
		}
		r.replacementStep(ctx, fault, target)
		if !retry.Pause(ctx, settleTime) {
			return
		}
	}
}

// mayBeGone reports whether a process may be lost for good: a reserve is left, and so is a seed.
func (r *run) mayBeGone(target *member) bool {
	seeds := 0
	for _, each := range r.site.withRole(target.settings.GetRole()) {
		if each.isSeed && each != target {
			seeds++
		}
	}
	return r.site.reserve(target.settings.GetRole()) != nil && (!target.isSeed || seeds >= remainingSeeds)
}

// replacementStep injects one fault and checks the groups wholeWithin after its beginning.
func (r *run) replacementStep(ctx context.Context, fault Fault, target *member) {
	target.faultMutex.Lock()
	defer target.faultMutex.Unlock()
	r.logFault(fault, target.Name)
	defer r.faults.begin()()
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		retry.Pause(ctx, wholeWithin)
		r.checkWhole(ctx, target)
	}()
	if fault.kind == KindGone {
		target.Kill()
		target.state.Store(memberGone)
		retry.Pause(ctx, goneReplacedAfter)
		successor := r.site.reserve(target.settings.GetRole())
		log.WithField("target", successor.Name).Info("comes with an empty disk")
		r.restart(successor)
		successor.state.Store(memberInUse)
	} else {
		r.injectMemberFault(ctx, fault, target)
	}
	<-checked
}

// checkWhole checks that each group has a leader, and that none is short of members. The lost process is asked, too: if it
// can't be called, it may still lead, since its own calls are answered.
func (r *run) checkWhole(ctx context.Context, lost *member) {
	now := r.elapsed()
	for role, groups := range map[rockwindpb.SiteRole]int{
		rockwindpb.SiteRole_SITE_ROLE_COORDINATOR: 1, rockwindpb.SiteRole_SITE_ROLE_STORE: unrestrictedShards,
	} {
		led := make(map[uint64]bool)
		for _, each := range r.site.withRole(role) {
			for group, missing := range readMissing(ctx, each) {
				if role == rockwindpb.SiteRole_SITE_ROLE_STORE && group >= unrestrictedShards {
					continue // The region of the shard has no other store.
				}
				led[group] = true
				if missing > 0 {
					r.witness.Report(witness.GroupShort, fmt.Sprintf("group %d of %s", group, each.Name),
						fmt.Sprintf("%d members are missing %v after the loss of %s", missing, wholeWithin, lost.Name), now)
				}
			}
		}
		r.witness.Count("groups judged by their members")
		if len(led) < groups {
			r.witness.Report(witness.GroupShort, roleNames[role], fmt.Sprintf("%d of %d groups have a leader %v after the loss of %s",
				len(led), groups, wholeWithin, lost.Name), now)
		}
	}
}

var missingPattern = regexp.MustCompile(`(?m)^rockwind_group_missing_members\{group="(\d+)"\} (\d+)$`)

// readMissing returns how many members the groups lack that a process leads.
func readMissing(ctx context.Context, from *member) map[uint64]int {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.settings.GetMetricsListen()+"/metrics", nil)
	if err != nil {
		return nil
	}
	response, err := newClient(metricsTimeout).Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	page, err := io.ReadAll(response.Body)
	if err != nil {
		return nil
	}
	groups := make(map[uint64]int)
	for _, match := range missingPattern.FindAllSubmatch(page, -1) {
		group, _ := strconv.ParseUint(string(match[1]), 10, 32)
		missing, _ := strconv.Atoi(string(match[2]))
		groups[group] = missing
	}
	return groups
}
