package router

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/leftbehind"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/upstream"
)

const (
	// surveyInterval is the time between looks at a survey: what servers tell is worth
	// little after the first requests were sent to them.
	surveyInterval = 20 * time.Millisecond
	// questionTime bounds a question to a server. A busy machine answers within some tens of
	// milliseconds; later, the requests of the new lives are in what it tells.
	questionTime = 250 * time.Millisecond
	// mostReport bounds what is read of an answer.
	mostReport = 64 << 10
)

// LoadQuery is what servers and processes agree on to ask a server for its load. A Protocol that
// has none gives nothing to ask.
type LoadQuery interface {
	// PrepareLoadRequest writes what asks a server into a header, and returns the path that a GET asks.
	// A server answers it without a slot.
	PrepareLoadRequest(header http.Header, serverID string) (path string)
	// ParseLoad reads the answer: how many requests the server has, running and waiting.
	ParseLoad(status int, body []byte) (requests int, err error)
}

// survey is what a dispatcher found out after its start, with the service of each server that
// is asked; nil where it asks nothing.
type survey struct {
	*leftbehind.Survey
	services map[string]string
}

// Survey has servers asked after the start what processes that are gone left behind there, and
// returns once that is over or the context ends.
func (d *Dispatcher) Survey(ctx context.Context, settings *rockwindpb.SiteSettings, watcher *site.Watcher, protocol Protocol, client *upstream.Client) {
	inquiry, offered := protocol.(LoadQuery)
	if !offered || !d.gates.On(gate.LeftBehind) || !d.AwaitReady(ctx) || !watcher.AwaitKnown(ctx) {
		return
	}
	d.runSurvey(ctx, settings.GetName(), watcher.Directory(), watcher.Configuration(), inquiry, client)
}

// runSurvey has the servers of a directory asked until that is over or the context ends.
func (d *Dispatcher) runSurvey(ctx context.Context, self string, view *directory.View, index *configuration.Index, inquiry LoadQuery, client *upstream.Client) {
	d.beginSurvey(self, view, index)
	ticker := time.NewTicker(surveyInterval)
	defer ticker.Stop()
	for {
		due, over := d.judgeSurvey()
		if over {
			d.endSurvey(self)
			return
		}
		for _, server := range due {
			go d.ask(ctx, server, inquiry, client)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// surveyors lists the processes that ask: the stores, whose runs last longest and which have
// the larger processors, or the routers of a site without stores.
func surveyors(view *directory.View) []string {
	machines := view.WithRole(rockwindpb.SiteRole_SITE_ROLE_STORE)
	if len(machines) == 0 {
		machines = view.WithRole(rockwindpb.SiteRole_SITE_ROLE_ROUTER)
	}
	names := make([]string, 0, len(machines))
	for _, machine := range machines {
		names = append(names, machine.GetName())
	}
	return names
}

// beginSurvey takes the servers that are asked: model engines, whose runs last for long. What
// other servers had when its callers went is over when these are back.
func (d *Dispatcher) beginSurvey(self string, view *directory.View, index *configuration.Index) {
	services := make(map[string]string)
	var servers []leftbehind.Server
	for _, server := range view.Servers() {
		service, known := index.Service(server.GetService())
		if !known || service.GetEngine() == nil || server.GetState() != rockwindpb.ServerState_SERVER_STATE_READY {
			continue
		}
		services[server.GetId()] = server.GetService()
		servers = append(servers, leftbehind.Server{ID: server.GetId(), Address: server.GetAddress(), Slots: int(server.GetSlots())})
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.survey = &survey{Survey: leftbehind.New(d.origin.UnixMilli()), services: services}
	d.survey.Start(self, surveyors(view), servers, d.now())
}

// judgeSurvey takes what was heard of the others, and returns the servers to be asked now.
func (d *Dispatcher) judgeSurvey() (due []leftbehind.Server, over bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	earliest, heard := d.shares.EarliestStart()
	d.survey.Evaluate(leftbehind.PeerStatus{Heard: heard, EarliestStart: earliest, SurvivorsReported: d.shares.SurvivorsReported()}, d.living, now)
	d.tellLeftBehind()
	return d.survey.Due(now), d.survey.Done()
}

// living is how many requests the living processes have at a server. The mutex is held.
func (d *Dispatcher) living(id string) int {
	return d.service(d.survey.services[id]).pool.LiveInflight(id)
}

// tellLeftBehind has what is known of the survey counted here and told to the others, at once
// where it has changed. The mutex is held.
func (d *Dispatcher) tellLeftBehind() {
	left := make(map[string]int)
	d.survey.LeftBehind(func(id string, count int) { left[id] = count })
	if d.shares.SetLeftBehind(left, d.survey.ReportSurvivors()) {
		d.nudge()
	}
}

// ask asks a server for its load.
func (d *Dispatcher) ask(ctx context.Context, server leftbehind.Server, inquiry LoadQuery, client *upstream.Client) {
	requests, err := question(ctx, server, inquiry, client)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err != nil {
		log.WithError(fault.From(err)).WithField("server", server.ID).Debug("a server does not tell its load")
		d.survey.Failed(server.ID)
		return
	}
	d.survey.Answered(server.ID, requests, d.living(server.ID))
	d.tellLeftBehind()
}

// question puts a question to a server.
func question(ctx context.Context, server leftbehind.Server, inquiry LoadQuery, client *upstream.Client) (requests int, err error) {
	ctx, cancel := context.WithTimeout(ctx, questionTime)
	defer cancel()
	header := make(http.Header)
	path := inquiry.PrepareLoadRequest(header, server.ID)
	response, err := client.Do(ctx, server.Address, &upstream.Request{
		Kind: upstream.Relayed, Method: http.MethodGet, Path: path, Header: header, Repeatable: true,
		Timeouts: upstream.Timeouts{Connect: questionTime, FirstByte: questionTime},
	}, 1)
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body(questionTime), mostReport))
	if err != nil || len(body) == mostReport {
		response.Abandon()
		return 0, fault.Newf(fault.Unavailable, "look at the server", "the report of a server was not read whole: %v", err)
	}
	response.Finish()
	return inquiry.ParseLoad(response.Status, body)
}

// endSurvey writes what was asked and found.
func (d *Dispatcher) endSurvey(self string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	counts := d.survey.Counts()
	if counts.Asked == 0 {
		return
	}
	decision.Default.Record(decision.ServersAsked, self, log.Fields{
		"asked": counts.Asked, "answered": counts.Answered, "left_behind": counts.LeftBehind, "after_ms": d.now().Milliseconds(),
	})
}

// surveyOpen tells whether it is not known yet what was left behind: batch work waits for that. The
// mutex is held.
func (d *Dispatcher) surveyOpen() bool { return d.survey != nil && d.survey.Pending() }

// LeftBehind tells how many requests of processes that are gone the servers are taken to have,
// as all processes tell, and how many questions this one put since its start.
func (d *Dispatcher) LeftBehind() (requests, questions int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, pool := range d.pools {
		requests += pool.pool.LeftBehind()
	}
	if d.survey != nil {
		questions = d.survey.Counts().Asked
	}
	return requests, questions
}
