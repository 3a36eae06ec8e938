package hollow

import (
	"fmt"
	"net/http"
	"path/filepath"

	"rockwind.example/rockwind/internal/fault"
)

// FollowersCommand implements `rockwind-bench hollow followers`. It runs many configuration
// followers in one process, each with its own connections and folder.
type FollowersCommand struct {
	Names   []string `help:"Names of the followers of this process." required:""`
	Control []string `help:"Control machines as machine=ip:port@zone." required:""`
	Folder  string   `help:"Folder for the followers' files." required:"" type:"path"`
	Report  string   `help:"Address of the report page." default:"127.0.0.1:0"`
}

// Run starts the followers and serves the report until the process ends.
func (c *FollowersCommand) Run() error {
	control, err := parseControl(c.Control)
	if err != nil {
		return err
	}
	host := &followerHost{}
	for _, name := range c.Names {
		host.followers = append(host.followers, newFollowerInstance(name, filepath.Join(c.Folder, name), control))
	}
	for _, each := range host.followers {
		if err := each.start(); err != nil {
			return err
		}
	}
	return serveReport(c.Report, host.report, map[string]http.HandlerFunc{
		RestartPath: host.handler((*followerInstance).restart),
		StopPath:    host.handler((*followerInstance).stop),
		StartPath:   host.handler((*followerInstance).start),
	})
}

// followerHost serves the HTTP endpoints of the process.
type followerHost struct {
	followers []*followerInstance
}

func (h *followerHost) report() any {
	reports := make([]FollowerReport, 0, len(h.followers))
	for _, each := range h.followers {
		reports = append(reports, each.snapshot())
	}
	return reports
}

// handler returns a handler that applies an action to the follower named in the query.
func (h *followerHost) handler(action func(*followerInstance) error) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		name := request.URL.Query().Get(nameParameter)
		for _, candidate := range h.followers {
			if candidate.name != name {
				continue
			}
			if err := action(candidate); err != nil {
				http.Error(writer, fault.From(err).Error(), http.StatusInternalServerError)
			}
			return
		}
		http.Error(writer, fmt.Sprintf("no follower is named %q", name), http.StatusNotFound)
	}
}
