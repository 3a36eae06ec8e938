package propagation

import (
	"context"
	"net/http"
	"net/url"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/hollow"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	benchProgram = "rockwind-bench"
	startTimeout = 60 * time.Second
	pollInterval = 10 * time.Millisecond
)

// host is a process that runs several followers.
type host struct {
	process *fleet.Process
	names   []string
	// page is the base URL of its HTTP pages, set by start.
	page string
}

// newHost defines a process for the named followers without starting it.
func newHost(name, folder, programs string, control []*rockwindpb.ControlMachine, names []string) *host {
	arguments := []string{"hollow", "followers", "--names", strings.Join(names, ","), "--folder", filepath.Join(folder, name)}
	for _, machine := range control {
		arguments = append(arguments, "--control", hollow.ControlFlag(machine))
	}
	return &host{names: names, process: fleet.NewProcess(fleet.ProcessOptions{
		Name: name, Role: "followers", Folder: filepath.Join(folder, name),
		Program: filepath.Join(programs, benchProgram), Arguments: arguments,
	})}
}

// start starts the process and waits until it serves HTTP.
func (h *host) start(ctx context.Context) error {
	h.process = h.process.Clone()
	if err := h.process.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		_, rest, printed := strings.Cut(h.process.Output(), hollow.ListeningPrefix)
		address, _, whole := strings.Cut(rest, "\n")
		if printed && whole {
			h.page = "http://" + address
			return nil
		}
		if !h.process.Running() || ctx.Err() != nil {
			return fault.Newf(fault.Unavailable, "read its output", "%s does not serve HTTP:\n%s", h.process.Name, h.process.Output())
		}
		pause(ctx)
	}
}

// reports reads the reports of the followers of the process.
func (h *host) reports(ctx context.Context) ([]hollow.FollowerReport, error) {
	var reports []hollow.FollowerReport
	err := hollow.GetJSON(ctx, http.DefaultClient, h.page+hollow.ReportPath, &reports)
	return reports, err
}

// command starts, stops or restarts one follower of the process.
func (h *host) command(ctx context.Context, page, name string) error {
	return hollow.GetJSON(ctx, http.DefaultClient, h.page+page+"?name="+url.QueryEscape(name), nil)
}

// reportsOf reads the reports of several processes.
func reportsOf(ctx context.Context, hosts []*host) ([]hollow.FollowerReport, error) {
	byHost := make([][]hollow.FollowerReport, len(hosts))
	group, ctx := errgroup.WithContext(ctx)
	for index, each := range hosts {
		group.Go(func() error {
			var err error
			byHost[index], err = each.reports(ctx)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var all []hollow.FollowerReport
	for _, reports := range byHost {
		all = append(all, reports...)
	}
	return all, nil
}

// startAll starts several processes concurrently.
func startAll(ctx context.Context, hosts []*host) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, each := range hosts {
		group.Go(func() error { return each.start(ctx) })
	}
	return group.Wait()
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(pollInterval):
	}
}

// newestNumber returns the number of the last configuration that a follower put in
// force, or 0.
func newestNumber(report hollow.FollowerReport) uint64 {
	if len(report.InForce) == 0 {
		return 0
	}
	return report.InForce[len(report.InForce)-1].Number
}
