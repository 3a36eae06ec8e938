package router

import (
	"context"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/orphans"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/upstream"
)

const (
	// surveyInterval is the time between updates of a survey. It is short because the answers are
	// of little use once new requests were sent to the servers.
	surveyInterval = 20 * time.Millisecond
	// loadQueryTimeout bounds a load query. A busy machine answers within some tens of
	// milliseconds; later answers would include requests sent after the restart.
	loadQueryTimeout = 250 * time.Millisecond
	// maxLoadResponse bounds the size of a response to a load query.
	maxLoadResponse = 64 << 10
	// loadQueryID identifies load queries to upstream.Client; it is not sent.
	loadQueryID = "load-query"
)

// LoadQuery is implemented by a Protocol that can query servers for their load.
type LoadQuery interface {
	// PrepareLoadRequest sets the headers of a load query and returns the path of its GET
	// request. A server answers it without using a slot.
	PrepareLoadRequest(header http.Header, serverID string) (path string)
	// ParseLoad parses the response: how many requests run and wait at the server.
	ParseLoad(status int, body []byte) (requests int, err error)
}

// survey is the survey of servers after the start of a dispatcher, with the service of each
// surveyed server.
type survey struct {
	*orphans.Survey
	services map[string]string
}

// Survey queries servers after the start for the requests that processes which are gone left
// behind there. It returns once the survey is over or the context ends.
func (d *Dispatcher) Survey(ctx context.Context, settings *rockwindpb.SiteSettings, watcher *site.Watcher, protocol Protocol, client *upstream.Client) {
	query, offered := protocol.(LoadQuery)
	if !offered || !d.gates.On(featuregate.Orphans) || !d.AwaitReady(ctx) || !watcher.AwaitInitialized(ctx) {
		return
	}
	d.runSurvey(ctx, settings.GetName(), watcher.Directory(), watcher.Configuration(), query, client)
}

// runSurvey surveys the servers of a directory until the survey is over or the context ends.
func (d *Dispatcher) runSurvey(ctx context.Context, self string, view *directory.View, index *configuration.Index, query LoadQuery, client *upstream.Client) {
	d.beginSurvey(self, view, index)
	ticker := time.NewTicker(surveyInterval)
	defer ticker.Stop()
	for {
		due, over := d.updateSurvey()
		if over {
			d.endSurvey(self)
			return
		}
		for _, server := range due {
			go d.queryServer(ctx, server, query, client)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// surveyingProcesses lists the processes that query servers: the stores, whose runs are the
// longest and which have more CPU, or the routers of a site without stores. byRegion has those of
// each region with enough of them to query its servers.
func (d *Dispatcher) surveyingProcesses(view *directory.View) (names []string, byRegion map[string][]string) {
	machines := view.WithRole(rockwindpb.SiteRole_SITE_ROLE_STORE)
	if len(machines) == 0 {
		machines = view.WithRole(rockwindpb.SiteRole_SITE_ROLE_ROUTER)
	}
	names, byRegion = make([]string, 0, len(machines)), make(map[string][]string)
	for _, machine := range machines {
		names = append(names, machine.GetName())
		if region := d.topology.Region(machine.GetZone()); d.multiRegion && region != "" {
			byRegion[region] = append(byRegion[region], machine.GetName())
		}
	}
	maps.DeleteFunc(byRegion, func(_ string, inRegion []string) bool { return len(inRegion) < orphans.QueriersPerServer })
	return names, byRegion
}

// beginSurvey selects the servers to query: model engines, because their runs are long. Orphaned
// requests at other servers are over by the time their callers have restarted.
func (d *Dispatcher) beginSurvey(self string, view *directory.View, index *configuration.Index) {
	services := make(map[string]string)
	var servers []orphans.Server
	processes, byRegion := d.surveyingProcesses(view)
	for _, server := range view.Servers() {
		service, known := index.Service(server.GetService())
		if !known || service.GetEngine() == nil || server.GetState() != rockwindpb.ServerState_SERVER_STATE_READY {
			continue
		}
		services[server.GetId()] = server.GetService()
		servers = append(servers, orphans.Server{
			ID: server.GetId(), Address: server.GetAddress(), Slots: int(server.GetSlots()),
			Processes: byRegion[d.topology.Region(server.GetZone())],
		})
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.survey = &survey{Survey: orphans.New(d.origin.UnixMilli()), services: services}
	d.survey.MarkLate(d.now())
	d.survey.Start(self, processes, servers, d.now())
}

// updateSurvey updates the survey with what other processes shared and returns the servers to
// query now.
func (d *Dispatcher) updateSurvey() (due []orphans.Server, over bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	earliest, reported := d.shares.EarliestStart()
	d.survey.Evaluate(orphans.PeerStatus{Reported: reported, EarliestStart: earliest, SurvivorsReported: d.shares.SurvivorsReported()}, d.liveLoad, now)
	d.shareOrphaned()
	return d.survey.Due(now), d.survey.Done()
}

// liveLoad returns how many requests the running processes have at a server. The caller holds
// d.mutex.
func (d *Dispatcher) liveLoad(id string) int {
	return d.poolOf(d.survey.services[id]).pool.LiveInflight(id)
}

// shareOrphaned counts the orphaned requests found so far and shares them, at once if they
// changed. The caller holds d.mutex.
func (d *Dispatcher) shareOrphaned() {
	left := make(map[string]int)
	d.survey.Orphaned(func(id string, count int) { left[id] = count })
	if d.shares.SetOrphaned(left, d.survey.ReportSurvivors()) {
		d.shareLoadsNow()
	}
}

// queryServer queries a server and adds its answer to the survey.
func (d *Dispatcher) queryServer(ctx context.Context, server orphans.Server, query LoadQuery, client *upstream.Client) {
	requests, err := queryLoad(ctx, server, query, client)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err != nil {
		log.WithError(fault.From(err)).WithField("server", server.ID).Debug("server did not answer the load query")
		d.survey.Failed(server.ID)
		return
	}
	d.survey.Answered(server.ID, requests, d.liveLoad(server.ID))
	d.shareOrphaned()
}

// queryLoad sends a load query to a server.
func queryLoad(ctx context.Context, server orphans.Server, query LoadQuery, client *upstream.Client) (requests int, err error) {
	ctx, cancel := context.WithTimeout(ctx, loadQueryTimeout)
	defer cancel()
	header := make(http.Header)
	path := query.PrepareLoadRequest(header, server.ID)
	// Responses to load queries do not name their query, so a connection carries only one.
	response, err := client.Do(ctx, server.Address, &upstream.Request{
		ID: loadQueryID, Kind: upstream.Passthrough, Method: http.MethodGet, Path: path, Header: header, Repeatable: true,
		Timeouts: upstream.Timeouts{Connect: loadQueryTimeout, FirstByte: loadQueryTimeout},
	}, 1)
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body(loadQueryTimeout), maxLoadResponse))
	if err != nil || len(body) == maxLoadResponse {
		response.Abandon()
		return 0, fault.Newf(fault.Unavailable, "look at the server", "the response to a load query is incomplete or too large: %v", err)
	}
	response.Finish()
	return query.ParseLoad(response.Status, body)
}

// endSurvey records the result of the survey.
func (d *Dispatcher) endSurvey(self string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	counts := d.survey.Counts()
	if counts.Asked == 0 {
		return
	}
	decision.Default.Record(decision.ServersAsked, self, log.Fields{
		"asked": counts.Asked, "answered": counts.Answered, "left_behind": counts.Orphaned, "after_ms": d.now().Milliseconds(),
	})
}

// surveyPending reports whether the survey is still open, which holds back batch work. The caller
// holds d.mutex.
func (d *Dispatcher) surveyPending() bool { return d.survey != nil && d.survey.Pending() }

// Orphaned returns how many requests of processes that are gone are counted at the servers by
// all processes, and how many load queries this process has sent since its start.
func (d *Dispatcher) Orphaned() (requests, queries int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, pool := range d.pools {
		requests += pool.pool.Orphaned()
	}
	if d.survey != nil {
		queries = d.survey.Counts().Asked
	}
	return requests, queries
}
