package gateway

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// modelObject describes a model in the published shape.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listObject is a list in the published shape.
type listObject[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

// owner is who the models belong to, for clients of the published protocol.
const owner = "rockwind"

func newModelObject(id string) modelObject {
	return modelObject{ID: id, Object: "model", OwnedBy: owner}
}

// modelObjects lists a model and its adapters.
func modelObjects(model *rockwindpb.Model) []modelObject {
	objects := []modelObject{newModelObject(model.GetName())}
	for _, adapter := range model.GetAdapters() {
		objects = append(objects, newModelObject(model.GetName()+":"+adapter))
	}
	return objects
}

// serveModels answers GET /v1/models.
func (g *Gateway) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := listObject[modelObject]{Object: "list", Data: []modelObject{}}
	for _, model := range g.follower.Current().Models() {
		list.Data = append(list.Data, modelObjects(model)...)
	}
	writeJSON(w, list)
}

// serveModel answers GET /v1/models/{id}.
func (g *Gateway) serveModel(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if _, _, found := g.follower.Current().ResolveModel(id); !found {
		writeFault(w, fault.Newf(fault.NotFound, "name a model that GET /v1/models lists", "there is no model %q", id))
		return
	}
	writeJSON(w, newModelObject(id))
}
