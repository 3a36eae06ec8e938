package hollow

import (
	"fmt"
	"net/http"
	"path/filepath"

	"rockwind.example/rockwind/internal/fault"
)

// FollowersCommand is `rockwind-bench hollow followers`: the part of a daemon that
// follows the configuration, many to a process, each with connections and a folder
// of its own.
type FollowersCommand struct {
	Names   []string `help:"Names of the followers of this process." required:""`
	Control []string `help:"Control machines as machine=ip:port@zone." required:""`
	Folder  string   `help:"Folder for the followers' files." required:"" type:"path"`
	Report  string   `help:"Address of the report page." default:"127.0.0.1:0"`
}

// Run implements the command. It ends with the process.
func (c *FollowersCommand) Run() error {
	control, err := parseControl(c.Control)
	if err != nil {
		return err
	}
	host := &followerHost{}
	for _, name := range c.Names {
		host.followers = append(host.followers, newHollowFollower(name, filepath.Join(c.Folder, name), control))
	}
	for _, each := range host.followers {
		if err := each.start(); err != nil {
			return err
		}
	}
	return serveReport(c.Report, host.report, map[string]http.HandlerFunc{
		RestartPath: host.each((*hollowFollower).restart),
		StopPath:    host.each((*hollowFollower).stop),
		StartPath:   host.each((*hollowFollower).start),
	})
}

// followerHost serves the pages of a process of followers.
type followerHost struct {
	followers []*hollowFollower
}

func (h *followerHost) report() any {
	reports := make([]FollowerReport, 0, len(h.followers))
	for _, each := range h.followers {
		reports = append(reports, each.snapshot())
	}
	return reports
}

// each returns a page that does something with the follower that the query names.
func (h *followerHost) each(act func(*hollowFollower) error) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		name := request.URL.Query().Get(nameParameter)
		for _, candidate := range h.followers {
			if candidate.name != name {
				continue
			}
			if err := act(candidate); err != nil {
				http.Error(writer, fault.From(err).Error(), http.StatusInternalServerError)
			}
			return
		}
		http.Error(writer, fmt.Sprintf("no follower is named %q", name), http.StatusNotFound)
	}
}
