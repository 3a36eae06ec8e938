package configuration

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Hash is a SHA-256 hash.
type Hash [sha256.Size]byte

// Key identifies an object within a configuration.
type Key struct {
	Kind rockwindpb.ObjectKind
	// Name is empty for the policy and the client limits, which exist only once.
	Name string
}

// String returns the key for messages, for example "back end engine-1".
func (k Key) String() string {
	if k.Name == "" {
		return KindName(k.Kind)
	}
	return KindName(k.Kind) + " " + k.Name
}

// KindName returns the name of a kind for messages, for example "back end".
func KindName(kind rockwindpb.ObjectKind) string {
	text := strings.TrimPrefix(kind.String(), "OBJECT_KIND_")
	return strings.ToLower(strings.ReplaceAll(text, "_", " "))
}

// Compare orders keys by kind, then by name.
func (k Key) Compare(other Key) int {
	if order := cmp.Compare(k.Kind, other.Kind); order != 0 {
		return order
	}
	return strings.Compare(k.Name, other.Name)
}

// KeyOf returns the key of an object. Its kind is unspecified if the object is empty
// or of a kind that this version does not know.
func KeyOf(object *rockwindpb.ConfigurationObject) Key {
	switch content := object.GetObject().(type) {
	case *rockwindpb.ConfigurationObject_Group:
		return Key{Kind: rockwindpb.ObjectKind_OBJECT_KIND_GROUP, Name: content.Group.GetName()}
	case *rockwindpb.ConfigurationObject_Tenant:
		return Key{Kind: rockwindpb.ObjectKind_OBJECT_KIND_TENANT, Name: content.Tenant.GetName()}
	case *rockwindpb.ConfigurationObject_Model:
		return Key{Kind: rockwindpb.ObjectKind_OBJECT_KIND_MODEL, Name: content.Model.GetName()}
	case *rockwindpb.ConfigurationObject_Service:
		return Key{Kind: rockwindpb.ObjectKind_OBJECT_KIND_SERVICE, Name: content.Service.GetName()}
	case *rockwindpb.ConfigurationObject_BatchClass:
		return Key{Kind: rockwindpb.ObjectKind_OBJECT_KIND_BATCH_CLASS, Name: content.BatchClass.GetName()}
	case *rockwindpb.ConfigurationObject_BackEnd:
		return Key{Kind: rockwindpb.ObjectKind_OBJECT_KIND_BACK_END, Name: content.BackEnd.GetName()}
	case *rockwindpb.ConfigurationObject_Policy:
		return Key{Kind: rockwindpb.ObjectKind_OBJECT_KIND_POLICY}
	case *rockwindpb.ConfigurationObject_Route:
		return Key{Kind: rockwindpb.ObjectKind_OBJECT_KIND_ROUTE, Name: content.Route.GetName()}
	case *rockwindpb.ConfigurationObject_ClientLimits:
		return Key{Kind: rockwindpb.ObjectKind_OBJECT_KIND_CLIENT_LIMITS}
	default:
		return Key{}
	}
}

// Objects returns the objects of a configuration, which share their messages with
// it.
func Objects(configuration *rockwindpb.Configuration) []*rockwindpb.ConfigurationObject {
	var objects []*rockwindpb.ConfigurationObject
	for _, group := range configuration.GetGroups() {
		objects = append(objects, &rockwindpb.ConfigurationObject{Object: &rockwindpb.ConfigurationObject_Group{Group: group}})
	}
	for _, tenant := range configuration.GetTenants() {
		objects = append(objects, &rockwindpb.ConfigurationObject{Object: &rockwindpb.ConfigurationObject_Tenant{Tenant: tenant}})
	}
	for _, model := range configuration.GetModels() {
		objects = append(objects, &rockwindpb.ConfigurationObject{Object: &rockwindpb.ConfigurationObject_Model{Model: model}})
	}
	for _, service := range configuration.GetServices() {
		objects = append(objects, &rockwindpb.ConfigurationObject{Object: &rockwindpb.ConfigurationObject_Service{Service: service}})
	}
	for _, class := range configuration.GetBatchClasses() {
		objects = append(objects, &rockwindpb.ConfigurationObject{Object: &rockwindpb.ConfigurationObject_BatchClass{BatchClass: class}})
	}
	for _, backEnd := range configuration.GetBackEnds() {
		objects = append(objects, &rockwindpb.ConfigurationObject{Object: &rockwindpb.ConfigurationObject_BackEnd{BackEnd: backEnd}})
	}
	if configuration.GetPolicy() != nil {
		objects = append(objects, &rockwindpb.ConfigurationObject{Object: &rockwindpb.ConfigurationObject_Policy{Policy: configuration.GetPolicy()}})
	}
	for _, route := range configuration.GetRoutes() {
		objects = append(objects, &rockwindpb.ConfigurationObject{Object: &rockwindpb.ConfigurationObject_Route{Route: route}})
	}
	if configuration.GetClientLimits() != nil {
		objects = append(objects, &rockwindpb.ConfigurationObject{Object: &rockwindpb.ConfigurationObject_ClientLimits{ClientLimits: configuration.GetClientLimits()}})
	}
	return objects
}

// addObject adds an object to a configuration.
func addObject(configuration *rockwindpb.Configuration, object *rockwindpb.ConfigurationObject) {
	switch content := object.GetObject().(type) {
	case *rockwindpb.ConfigurationObject_Group:
		configuration.Groups = append(configuration.Groups, content.Group)
	case *rockwindpb.ConfigurationObject_Tenant:
		configuration.Tenants = append(configuration.Tenants, content.Tenant)
	case *rockwindpb.ConfigurationObject_Model:
		configuration.Models = append(configuration.Models, content.Model)
	case *rockwindpb.ConfigurationObject_Service:
		configuration.Services = append(configuration.Services, content.Service)
	case *rockwindpb.ConfigurationObject_BatchClass:
		configuration.BatchClasses = append(configuration.BatchClasses, content.BatchClass)
	case *rockwindpb.ConfigurationObject_BackEnd:
		configuration.BackEnds = append(configuration.BackEnds, content.BackEnd)
	case *rockwindpb.ConfigurationObject_Policy:
		configuration.Policy = content.Policy
	case *rockwindpb.ConfigurationObject_Route:
		configuration.Routes = append(configuration.Routes, content.Route)
	case *rockwindpb.ConfigurationObject_ClientLimits:
		configuration.ClientLimits = content.ClientLimits
	}
}

// entry is an object with its key and the hash of its canonical encoding.
type entry struct {
	key    Key
	hash   Hash
	object *rockwindpb.ConfigurationObject
}

// newEntry hashes an object. The canonical encoding is the deterministic protobuf
// encoding.
func newEntry(object *rockwindpb.ConfigurationObject) (entry, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(object)
	if err != nil {
		return entry{}, corruptError("an object of the configuration cannot be encoded: %v", err)
	}
	return entry{key: KeyOf(object), hash: sha256.Sum256(encoded), object: object}, nil
}

// newEntries returns the entries of objects, sorted by key. It fails if an object
// has no known kind or two objects have the same key.
func newEntries(objects []*rockwindpb.ConfigurationObject) ([]entry, error) {
	entries := make([]entry, 0, len(objects))
	for _, object := range objects {
		added, err := newEntry(object)
		if err != nil {
			return nil, err
		}
		if added.key.Kind == rockwindpb.ObjectKind_OBJECT_KIND_UNSPECIFIED {
			return nil, corruptError("the configuration holds an object of unknown kind")
		}
		entries = append(entries, added)
	}
	slices.SortFunc(entries, func(a, b entry) int { return a.key.Compare(b.key) })
	for i := 1; i < len(entries); i++ {
		if entries[i].key == entries[i-1].key {
			return nil, corruptError("the configuration holds %s twice", entries[i].key)
		}
	}
	return entries, nil
}
