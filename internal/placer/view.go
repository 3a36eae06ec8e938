package placer

import (
	"cmp"
	"slices"

	"rockwind.example/rockwind/internal/placement"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// sorted lists the engines by name.
func (a *Applier) sorted() []*engineState {
	list := make([]*engineState, 0, len(a.engines))
	for _, held := range a.engines {
		list = append(list, held)
	}
	slices.SortFunc(list, func(left, right *engineState) int { return cmp.Compare(left.name, right.name) })
	return list
}

// view is the planner's view of a survey and of what engines said.
func (a *Applier) view(survey *Survey, digests map[string]*rockwindpb.ServerDigest) placement.View {
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
