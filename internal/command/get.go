package command

import (
	"fmt"
	"strings"

	"buf.build/go/protoyaml"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// getCommand is 'rockwind get'.
type getCommand struct {
	Configuration getConfiguration `cmd:"" help:"The whole configuration in force, in YAML as 'apply' reads it."`
	Groups        getGroups        `cmd:"" help:"The groups and their shares."`
	Tenants       getTenants       `cmd:"" help:"The tenants and their limits."`
	Models        getModels        `cmd:"" help:"The models and their versions."`
	Services      getServices      `cmd:"" help:"The services and their versions."`
	BatchClasses  getBatchClasses  `cmd:"" help:"The batch classes."`
	BackEnds      getBackEnds      `cmd:"" help:"The back ends."`
	Jobs          jobsList         `cmd:"" help:"The batch jobs; the same as 'jobs list'."`
}

type getConfiguration struct {
	Next bool `help:"Print it with the next number, ready to be changed and applied."`
}

// Run prints the configuration.
func (g *getConfiguration) Run(s *session) error {
	index, _, err := s.configurationInForce()
	if err != nil {
		return err
	}
	whole := index.Configuration()
	if g.Next {
		whole.Number++
	}
	if s.printer.json {
		return s.printer.encode(whole)
	}
	text, err := protoyaml.MarshalOptions{UseProtoNames: true, Indent: 2}.Marshal(whole)
	if err != nil {
		return fault.Newf(fault.Internal, "use --output json", "the configuration cannot be printed: %v", err)
	}
	_, err = s.printer.output.Write(text)
	return err
}

// printObjects prints the objects of one kind, one row each.
func printObjects[T proto.Message](s *session, list func(*configuration.Index) []T, header []string, row func(T) []string) error {
	index, _, err := s.configurationInForce()
	if err != nil {
		return err
	}
	objects := list(index)
	listing := &table{header: header}
	for _, object := range objects {
		listing.add(row(object)...)
	}
	return s.printer.print(messagesJSON(objects), listing)
}

type getGroups struct{}

// Run prints the groups.
func (*getGroups) Run(s *session) error {
	return printObjects(s, (*configuration.Index).Groups, []string{"GROUP", "SHARE", "OBJECTIVE"},
		func(group *rockwindpb.Group) []string {
			objective := strings.TrimPrefix(group.GetObjective().String(), "OBJECTIVE_")
			return []string{group.GetName(), fmt.Sprint(group.GetShare()), strings.ToLower(objective)}
		})
}

type getTenants struct{}

// Run prints the tenants.
func (*getTenants) Run(s *session) error {
	return printObjects(s, (*configuration.Index).Tenants,
		[]string{"TENANT", "GROUP", "KEYS", "REQUESTS/S", "CONCURRENCY", "TOKENS/S"},
		func(tenant *rockwindpb.Tenant) []string {
			limits := tenant.GetLimits()
			return []string{
				tenant.GetName(), tenant.GetGroup(), number(len(tenant.GetApiKeySha256())),
				limitText(limits.GetRequestsPerSecond()), limitText(float64(limits.GetConcurrency())), limitText(limits.GetTokensPerSecond()),
			}
		})
}

func limitText(limit float64) string {
	if limit == 0 {
		return "-"
	}
	return fmt.Sprint(limit)
}

type getModels struct{}

// Run prints the models.
func (*getModels) Run(s *session) error {
	return printObjects(s, (*configuration.Index).Models, []string{"MODEL", "VERSIONS", "ADAPTERS", "CONTEXT"},
		func(model *rockwindpb.Model) []string {
			return []string{
				model.GetName(), versionsText(model.GetVersions()),
				strings.Join(model.GetAdapters(), ","), number(model.GetContextTokens()),
			}
		})
}

func versionsText(versions []*rockwindpb.Version) string {
	texts := make([]string, 0, len(versions))
	for _, version := range versions {
		texts = append(texts, fmt.Sprintf("%s=%d", version.GetName(), version.GetWeight()))
	}
	return strings.Join(texts, ",")
}

type getServices struct{}

// Run prints the services.
func (*getServices) Run(s *session) error {
	return printObjects(s, (*configuration.Index).Services, []string{"SERVICE", "GROUP", "VERSIONS", "TIMEOUT"},
		func(service *rockwindpb.Service) []string {
			return []string{
				service.GetName(), service.GetGroup(), versionsText(service.GetVersions()),
				service.GetTimeout().AsDuration().String(),
			}
		})
}

type getBatchClasses struct{}

// Run prints the batch classes.
func (*getBatchClasses) Run(s *session) error {
	return printObjects(s, (*configuration.Index).BatchClasses, []string{"BATCH CLASS", "TRIES", "DEADLINE", "WEIGHT"},
		func(class *rockwindpb.BatchClass) []string {
			return []string{
				class.GetName(), number(class.GetTries()),
				class.GetDeadline().AsDuration().String(), fmt.Sprint(class.GetWeight()),
			}
		})
}

type getBackEnds struct{}

// Run prints the back ends.
func (*getBackEnds) Run(s *session) error {
	return printObjects(s, (*configuration.Index).BackEnds, []string{"BACK END", "KIND", "ADDRESS", "ZONE", "SERVES", "VERSION"},
		func(backEnd *rockwindpb.BackEnd) []string {
			kind := strings.TrimPrefix(backEnd.GetKind().String(), "BACK_END_KIND_")
			return []string{
				backEnd.GetName(), strings.ToLower(kind), backEnd.GetAddress(), backEnd.GetZone(),
				strings.Join(backEnd.GetServes(), ","), backEnd.GetVersion(),
			}
		})
}
