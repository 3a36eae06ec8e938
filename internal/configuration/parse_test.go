package configuration

import (
	"os"
	"testing"
)

func TestExampleIsAccepted(t *testing.T) {
	const path = "../../examples/two-groups.yaml"
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	parsed, problems := Parse(path, data)
	for _, problem := range problems {
		t.Error(problem)
	}
	index, err := NewIndex(parsed)
	if err != nil {
		t.Fatal(err)
	}
	tenant, found := index.TenantByAPIKey("example-key-salons")
	if !found || tenant.GetGroup() != "scheduling" {
		t.Errorf("found tenant %v", tenant)
	}
	if engines := index.Engines("assistant-small"); len(engines) != 8 {
		t.Errorf("found %d engines", len(engines))
	}
}
