package placementcontroller

import (
	"cmp"
	"slices"

	"rockwind.example/rockwind/internal/placement"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// sortedEngines returns the engines sorted by name.
func (a *Controller) sortedEngines() []*engineState {
	list := make([]*engineState, 0, len(a.engines))
	for _, engine := range a.engines {
		list = append(list, engine)
	}
	slices.SortFunc(list, func(left, right *engineState) int { return cmp.Compare(left.name, right.name) })
	return list
}

// view returns the planner's view of a survey and of the reports of engines.
func (a *Controller) view(survey *Survey, digests map[string]*rockwindpb.ServerDigest) placement.View {
	view := placement.View{Now: a.options.Now(), Models: survey.models()}
	for _, backEnd := range survey.engines() {
		server := a.engines[backEnd.GetName()].server()
		server.Zone = backEnd.GetZone()
		server.AllowedModels = backEnd.GetServes()
		server.Slots = max(a.options.VersionsPerEngine, 1)
		server.Usable = server.Usable && healthy(digests[backEnd.GetName()])
		view.Servers = append(view.Servers, server)
	}
	return view
}
