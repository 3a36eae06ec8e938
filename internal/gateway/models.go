package gateway

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// modelObject is a model in the format of the OpenAI API.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listObject is a list in the format of the OpenAI API.
type listObject[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

// modelOwner is the owned_by value of all models.
const modelOwner = "rockwind"

func newModelObject(id string) modelObject {
	return modelObject{ID: id, Object: "model", OwnedBy: modelOwner}
}

// modelObjects returns the objects of a model and its adapters.
func modelObjects(model *rockwindpb.Model) []modelObject {
	objects := []modelObject{newModelObject(model.GetName())}
	for _, adapter := range model.GetAdapters() {
		objects = append(objects, newModelObject(model.GetName()+":"+adapter))
	}
	return objects
}

// serveModels handles GET /v1/models.
func (g *Gateway) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := listObject[modelObject]{Object: "list", Data: []modelObject{}}
	for _, model := range g.follower.Current().Models() {
		list.Data = append(list.Data, modelObjects(model)...)
	}
	writeJSON(w, list)
}

// serveModel handles GET /v1/models/{id}.
func (g *Gateway) serveModel(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if _, _, found := g.follower.Current().ResolveModel(id); !found {
		writeFault(w, g.denial(fault.Newf(fault.NotFound, "name a model that GET /v1/models lists", "there is no model %q", id)))
		return
	}
	writeJSON(w, newModelObject(id))
}
