package soak

import (
	"context"
	"crypto/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/bench/soak/faultproxy"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// linkDelay is the delay of each chunk of data on a delayed link.
	linkDelay = 120 * time.Millisecond
	// maximumTornBytes is the maximum size of a torn write.
	maximumTornBytes = 200
	// walPattern matches the segment files of a write-ahead log in a data folder.
	walPattern = "*.log"
)

// inject injects the faults of a plan at their times and returns once all have ended.
func (r *run) inject(ctx context.Context, plan []Fault) {
	var active sync.WaitGroup
	for _, fault := range plan {
		if !retry.Pause(ctx, fault.at-r.faultTime()) {
			break
		}
		active.Go(func() { r.injectFault(ctx, fault) })
	}
	active.Wait()
}

// faultTime returns the time since fault injection started.
func (r *run) faultTime() time.Duration { return r.elapsed() - r.faultsBegan }

// injectFault injects one fault. It skips a target that another fault still affects.
func (r *run) injectFault(ctx context.Context, fault Fault) {
	switch fault.kind {
	case KindServerKill, KindServerLateReports, KindServerDrain, KindServerDelay, KindServerReset, KindServerDropAll:
		r.injectServerFault(ctx, fault, r.endpoints[fault.target%len(r.endpoints)])
		return
	case KindKillAll:
		r.killAll(ctx, fault)
		return
	case KindWipeAndKillAll:
		r.wipeAndKillAll(ctx, fault)
		return
	}
	targets := r.site.members
	if fault.kind == KindTornWrite || fault.kind == KindWipeDisk {
		targets = slices.DeleteFunc(slices.Clone(targets), func(m *member) bool { return !m.keepsDisk() })
	}
	target := targets[fault.target%len(targets)]
	if !target.faultMutex.TryLock() {
		return
	}
	defer target.faultMutex.Unlock()
	r.logFault(fault, target.Name)
	defer r.faults.begin()()
	r.injectMemberFault(ctx, fault, target)
}

// logFault logs and counts a fault.
func (r *run) logFault(fault Fault, target string) {
	log.WithField("at", r.elapsed().Round(time.Millisecond).String()).WithField("for", fault.duration.Round(time.Millisecond).String()).
		WithField("target", target).Info(string(fault.kind))
	r.witness.Count("fault: " + string(fault.kind))
}

func (r *run) injectMemberFault(ctx context.Context, fault Fault, target *member) {
	wait := func() { retry.Pause(ctx, fault.duration) }
	impair := func(impairment faultproxy.Impairment) {
		target.proxy.Set(impairment)
		wait()
		target.proxy.Set(faultproxy.None())
	}
	switch fault.kind {
	case KindPause:
		target.Suspend()
		wait()
		target.Resume()
	case KindStop:
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), (graceS+1)*time.Second)
		defer cancel()
		if err := target.Terminate(stopCtx); err != nil {
			r.witness.Count("planned stops that took too long")
			target.Kill()
		}
		r.restart(target)
	case KindDelay:
		impair(faultproxy.Delay(linkDelay))
	case KindReset:
		target.proxy.Reset()
	case KindDropInbound:
		impair(faultproxy.DropInbound())
	case KindDropOutbound:
		impair(faultproxy.DropOutbound())
	case KindDropAll:
		impair(faultproxy.DropAll())
	default:
		target.Kill()
		r.damageDisk(fault.kind, target)
		wait()
		r.restart(target)
	}
}

// damageDisk damages the data folder of a killed process as the kind of fault requires.
func (r *run) damageDisk(kind Kind, target *member) {
	var err error
	switch kind {
	case KindWipeDisk:
		err = os.RemoveAll(target.settings.GetDataFolder())
	case KindTornWrite:
		err = appendTornWrite(target.settings.GetDataFolder())
	}
	if err != nil {
		log.WithError(err).WithField("target", target.Name).Error("data folder could not be damaged")
	}
}

// appendTornWrite appends random bytes to the newest log segment in a data folder.
func appendTornWrite(folder string) error {
	var newest string
	err := filepath.WalkDir(folder, func(path string, _ os.DirEntry, err error) error {
		if matched, _ := filepath.Match(walPattern, filepath.Base(path)); matched && strings.Compare(path, newest) > 0 {
			newest = path
		}
		return err
	})
	if err != nil || newest == "" {
		return err
	}
	file, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer file.Close()
	torn := make([]byte, maximumTornBytes)
	_, _ = rand.Read(torn)
	_, err = file.Write(torn[:1+int(torn[0])%(maximumTornBytes-1)])
	return err
}

func (r *run) restart(target *member) {
	if err := target.start(); err != nil {
		log.WithError(err).WithField("target", target.Name).Error("process failed to restart")
	}
}

// killAll kills and restarts all processes of one role, or of the whole site.
func (r *run) killAll(ctx context.Context, fault Fault) {
	targets, name := r.site.members, "all"
	choices := append([]rockwindpb.SiteRole{rockwindpb.SiteRole_SITE_ROLE_UNSPECIFIED}, roles...)
	if role := choices[fault.target%len(choices)]; role != rockwindpb.SiteRole_SITE_ROLE_UNSPECIFIED {
		targets, name = r.site.withRole(role), roleNames[role]
	}
	r.logFault(fault, name)
	defer r.faults.begin()()
	for _, each := range targets {
		each.faultMutex.Lock()
		defer each.faultMutex.Unlock()
	}
	for _, each := range targets {
		each.Kill()
	}
	retry.Pause(ctx, fault.duration)
	for _, each := range targets {
		r.restart(each)
	}
}

func (r *run) injectServerFault(ctx context.Context, fault Fault, target *endpoint) {
	if !target.faultMutex.TryLock() {
		return
	}
	defer target.faultMutex.Unlock()
	r.logFault(fault, target.current().ID())
	defer target.markStable(r)
	switch fault.kind {
	case KindServerKill:
		target.kill()
		retry.Pause(ctx, fault.duration)
		if err := target.start(r); err != nil {
			log.WithError(err).Error("backend failed to restart")
		}
	case KindServerLateReports:
		target.restartWithLateReports(ctx, r, fault.duration)
	case KindServerDrain:
		target.drain(ctx, r)
	case KindServerDelay:
		target.proxy.Set(faultproxy.Delay(linkDelay))
		retry.Pause(ctx, fault.duration)
		target.proxy.Set(faultproxy.None())
	case KindServerReset:
		target.proxy.Reset()
	case KindServerDropAll:
		target.proxy.Set(faultproxy.DropAll())
		retry.Pause(ctx, fault.duration)
		target.proxy.Set(faultproxy.None())
	}
}
