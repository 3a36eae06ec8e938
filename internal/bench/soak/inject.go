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
	// linkDelay is how much a delayed link adds to each piece of data.
	linkDelay = 120 * time.Millisecond
	// tornBytes is the most bytes of a torn write.
	tornBytes = 200
	// walPattern finds the segments of a log in a data folder.
	walPattern = "*.log"
)

// inject brings the faults of a plan about, each at its time, and returns once all
// are over.
func (r *run) inject(ctx context.Context, plan []Fault) {
	var active sync.WaitGroup
	for _, fault := range plan {
		if !retry.Pause(ctx, fault.at-r.faultTime()) {
			break
		}
		active.Go(func() { r.strike(ctx, fault) })
	}
	active.Wait()
}

// faultTime is the time since the faults began.
func (r *run) faultTime() time.Duration { return r.since() - r.faultsBegan }

// strike brings one fault about.
func (r *run) strike(ctx context.Context, fault Fault) {
	switch fault.kind {
	case KindServerKill, KindServerLateReports, KindServerDrain, KindServerDelay, KindServerReset, KindServerDropAll:
		r.strikeServer(ctx, fault, r.places[fault.target%len(r.places)])
		return
	case KindKillAll:
		r.killAll(ctx, fault)
		return
	}
	targets := r.site.members
	if fault.kind == KindTornWrite || fault.kind == KindWipeDisk {
		targets = slices.DeleteFunc(slices.Clone(targets), func(m *member) bool { return !m.keepsDisk() })
	}
	target := targets[fault.target%len(targets)]
	if !target.busy.TryLock() {
		return
	}
	defer target.busy.Unlock()
	r.note(fault, target.Name)
	defer r.calm.begin()()
	r.strikeMember(ctx, fault, target)
}

// note writes what strikes whom.
func (r *run) note(fault Fault, target string) {
	log.WithField("at", r.since().Round(time.Millisecond).String()).WithField("for", fault.length.Round(time.Millisecond).String()).
		WithField("target", target).Info(string(fault.kind))
	r.witness.Count("fault: " + string(fault.kind))
}

func (r *run) strikeMember(ctx context.Context, fault Fault, target *member) {
	hold := func() { retry.Pause(ctx, fault.length) }
	harm := func(harm faultproxy.Impairment) {
		target.proxy.Set(harm)
		hold()
		target.proxy.Set(faultproxy.None())
	}
	switch fault.kind {
	case KindPause:
		target.Freeze()
		hold()
		target.Thaw()
	case KindStop:
		stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), (graceS+1)*time.Second)
		defer cancel()
		if err := target.Terminate(stopping); err != nil {
			r.witness.Count("planned stops that took too long")
			target.Kill()
		}
		r.restart(target)
	case KindDelay:
		harm(faultproxy.Delay(linkDelay))
	case KindReset:
		target.proxy.Reset()
	case KindDropInbound:
		harm(faultproxy.DropInbound())
	case KindDropOutbound:
		harm(faultproxy.DropOutbound())
	case KindDropAll:
		harm(faultproxy.DropAll())
	default:
		target.Kill()
		r.harmDisk(fault.kind, target)
		hold()
		r.restart(target)
	}
}

// harmDisk does to the disk of a killed process what the kind of fault says.
func (r *run) harmDisk(kind Kind, target *member) {
	var err error
	switch kind {
	case KindWipeDisk:
		err = os.RemoveAll(target.settings.GetDataFolder())
	case KindTornWrite:
		err = tear(target.settings.GetDataFolder())
	}
	if err != nil {
		log.WithError(err).WithField("target", target.Name).Error("a disk was not harmed")
	}
}

// tear appends a torn write to the newest segment of the log in a data folder.
func tear(folder string) error {
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
	torn := make([]byte, tornBytes)
	_, _ = rand.Read(torn)
	_, err = file.Write(torn[:1+int(torn[0])%(tornBytes-1)])
	return err
}

func (r *run) restart(target *member) {
	if err := target.start(); err != nil {
		log.WithError(err).WithField("target", target.Name).Error("a process was not started again")
	}
}

// killAll kills all processes of a role, or all, and starts them again.
func (r *run) killAll(ctx context.Context, fault Fault) {
	targets, name := r.site.members, "all"
	choices := append([]rockwindpb.SiteRole{rockwindpb.SiteRole_SITE_ROLE_UNSPECIFIED}, roles...)
	if role := choices[fault.target%len(choices)]; role != rockwindpb.SiteRole_SITE_ROLE_UNSPECIFIED {
		targets, name = r.site.of(role), roleNames[role]
	}
	r.note(fault, name)
	defer r.calm.begin()()
	for _, each := range targets {
		each.busy.Lock()
		defer each.busy.Unlock()
	}
	for _, each := range targets {
		each.Kill()
	}
	retry.Pause(ctx, fault.length)
	for _, each := range targets {
		r.restart(each)
	}
}

func (r *run) strikeServer(ctx context.Context, fault Fault, target *place) {
	if !target.busy.TryLock() {
		return
	}
	defer target.busy.Unlock()
	r.note(fault, target.current().ID())
	defer target.harmed(r)
	switch fault.kind {
	case KindServerKill:
		target.kill()
		retry.Pause(ctx, fault.length)
		if err := target.revive(r); err != nil {
			log.WithError(err).Error("a back end was not started again")
		}
	case KindServerLateReports:
		target.reborn(ctx, r, fault.length)
	case KindServerDrain:
		target.leave(ctx, r)
	case KindServerDelay:
		target.proxy.Set(faultproxy.Delay(linkDelay))
		retry.Pause(ctx, fault.length)
		target.proxy.Set(faultproxy.None())
	case KindServerReset:
		target.proxy.Reset()
	case KindServerDropAll:
		target.proxy.Set(faultproxy.DropAll())
		retry.Pause(ctx, fault.length)
		target.proxy.Set(faultproxy.None())
	}
}
