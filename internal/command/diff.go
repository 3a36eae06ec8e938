package command

import (
	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// diffCommand is 'rockwind diff'.
type diffCommand struct {
	File string `short:"f" required:"" placeholder:"FILE" help:"Configuration file in YAML; '-' reads the input."`
}

// Help implements kong.HelpProvider.
func (*diffCommand) Help() string {
	return `Compares the file with the configuration in force. Nothing is changed; the number of the file is not compared.`
}

// Run prints what the file would change.
func (d *diffCommand) Run(s *session) error {
	parsed, err := s.readConfiguration(d.File)
	if err != nil {
		return err
	}
	after, err := configuration.NewIndex(parsed)
	if err != nil {
		return err
	}
	before, _, err := s.configurationInForce()
	if err != nil {
		return err
	}
	differences := configuration.Diff(before, after)
	if len(differences) == 0 {
		return s.printer.line([]configuration.Difference{}, "no difference from configuration %d", before.Number())
	}
	return s.printer.print(differences, differenceTable(differences))
}

func differenceTable(differences []configuration.Difference) *table {
	listing := &table{header: []string{"DIFFERENCE", "OBJECT", "NAME", "FIELD"}}
	for _, difference := range differences {
		kind := string(difference.Kind)
		if len(difference.Fields) == 0 {
			listing.add(kind, difference.Object, difference.Name, "")
		}
		for _, changed := range difference.Fields {
			listing.add(kind, difference.Object, difference.Name, changed.String())
		}
	}
	return listing
}

// configurationInForce returns the configuration in force and its acceptance.
func (s *session) configurationInForce() (*configuration.Index, *rockwindpb.Acceptance, error) {
	client, err := s.client()
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	response, err := client.Configuration().Get(ctx, &rockwindpb.GetConfigurationRequest{})
	if err != nil {
		return nil, nil, err
	}
	index, err := configuration.NewIndex(response.GetConfiguration())
	return index, response.GetAcceptance(), err
}
